//! A caller over CoAP.
