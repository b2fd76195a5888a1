//! The flow ticket that routes every packet.
