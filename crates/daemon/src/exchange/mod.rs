//! The exchange path, for requests and responses in CoAP: ingress, relay, owner, requests and feeds.

pub mod answer;
pub mod call;
pub mod claim;
pub mod feed;
pub mod flow;
pub mod hand_over;
pub mod ingress;
pub mod load;
pub mod notification;
pub mod number_hash;
pub mod opening;
pub mod owner;
pub mod path;
pub mod probe;
pub mod record;
pub mod relay;
pub mod request;
pub mod service;
pub mod slot;
pub mod table;
pub mod token;
pub mod unheard;
pub mod upkeep;
pub mod upstream;
