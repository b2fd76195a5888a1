//! Reading and writing of CoAP datagrams.
