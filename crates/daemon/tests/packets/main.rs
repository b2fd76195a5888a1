//! Tests of packet daemons that run as processes between stand-ins of the platform.

mod lifecycle;
mod load;
mod load_exchange;
mod overload;
mod restoration;
mod routes;
mod scene;
mod settings;
mod spillover;
mod store;
mod upstreams;
mod zone;
