//! Tests of packet daemons that run as processes between stand-ins of the platform.

mod lifecycle;
mod load;
mod restoration;
mod routes;
mod scene;
mod settings;
mod store;
mod upstreams;
mod zone;
