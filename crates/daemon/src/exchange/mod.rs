//! Data path for CoAP requests and responses: ingress, relay between daemons, ownership of upstreams, requests and
//! feeds.

pub mod call;
pub mod claim;
pub mod feed;
pub mod flow;
pub mod hand_over;
pub mod handed_over;
pub mod ingress;
pub mod load;
pub mod local_reply;
pub mod notification;
pub mod number_hash;
pub mod opening;
pub mod owner;
pub mod ownership;
pub mod path;
pub mod probe;
pub mod record;
pub mod relay;
pub mod relay_messages;
pub mod replay_buffer;
pub mod request;
pub mod service;
pub mod service_table;
pub mod slot;
pub mod token;
pub mod upkeep;
pub mod upstream;
