//! Configuration of packet mode with the places of its values, as it is checked before it is sent.
//!
//! The values are read as far as they can be: one that has a finding is left out.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Duration, //
};

/// A value with its byte offset in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed<T> {
    /// Byte offset of the value.
    pub at: usize,
    /// The value.
    pub value: T,
}

/// Routes, services and limits.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version, which rises with each change.
    pub version: Option<Placed<u64>>,
    /// Routes in the order of the text; of two with the same address the last one is used.
    pub routes: Vec<Route>,
    /// Services that the platform defines; `None` if the list is missing or of another type.
    pub services: Option<Vec<Service>>,
    /// Time after which an idle connection ends.
    pub idle_timeout: Option<Placed<Duration>>,
    /// All limits as they are written.
    pub limits: Vec<Field>,
    /// Other fields as they are written.
    pub others: Vec<Field>,
}

/// A route from an address to services.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Byte offset of the route.
    pub at: usize,
    /// Name of the route.
    pub name: Option<Placed<Arc<str>>>,
    /// IP address of the route.
    pub ip: Option<Placed<Ipv4Addr>>,
    /// Port of the route.
    pub port: Option<Placed<u16>>,
    /// Time after which the caller gives up.
    pub timeout: Option<Placed<Duration>>,
    /// Target time from a request to its answer.
    pub target_latency: Option<Placed<Duration>>,
    /// Services of the route; `None` if they could not be read.
    pub targets: Option<Vec<Target>>,
    /// All fields as they are written.
    pub fields: Vec<Field>,
}

impl Route {
    /// Address of the route.
    pub fn address(&self) -> Option<SocketAddrV4> {
        let (ip, port) = (self.ip.as_ref()?, self.port.as_ref()?);
        Some(SocketAddrV4::new(ip.value, port.value))
    }

    /// Name of the route, or a dash.
    pub fn label(&self) -> &str {
        self.name.as_ref().map_or("-", |name| &name.value)
    }
}

/// A service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Placed<Arc<str>>,
    /// Weight relative to the other services of the route.
    pub weight: Placed<u32>,
}

/// Definition of a service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: Placed<Arc<str>>,
    /// Duration of the warm-up of an upstream, in seconds.
    pub warmup_s: Option<Placed<f64>>,
    /// Requests per second that an upstream gets in its warm-up.
    pub warmup_rate: Option<Placed<f64>>,
    /// All fields as they are written.
    pub fields: Vec<Field>,
}

/// What a field of a route determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The address at which flows arrive.
    Address,
    /// The services to which new flows go.
    Targets,
    /// Anything else.
    Other,
}

/// A field as it is written, for the comparison with another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the field.
    pub name: Arc<str>,
    /// Value in a form that does not depend on white space.
    pub value: String,
    /// What the field determines.
    pub role: Role,
}
