//! The services in force on this daemon, as the documents declare them.

use crate::{
    audit::AuditEvent,
    exchange::{
        ownership::Ownership,
        path::DataPath,
        service::Service,
        upstream::Upstream, //
    },
    logging::Event,
    metrics::FlowEnd,
    socket::Socket,
    supervisor::Restart, //
};
use foxtailhinge_config::document::ServiceDocument;
use foxtailhinge_wire::ticket::name_hash;
use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time within which the task that reads a closed socket has ended.
const SOCKET_CLOSES: Duration = Duration::from_millis(100);

/// How a service fares with its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contest {
    /// No other service has it.
    Free,
    /// Another service had it and has lost it now.
    Won,
    /// Another service keeps it.
    Lost,
}

impl DataPath {
    /// Puts a document in force, or takes the service out when there is none.
    pub fn apply(self: &Rc<Self>, name: &str, doc: Option<Rc<ServiceDocument>>) {
        match doc {
            Some(doc) => self.install(name, doc),
            None => self.remove(name),
        }
        self.reconcile();
    }

    fn install(self: &Rc<Self>, name: &str, doc: Rc<ServiceDocument>) {
        let hash = name_hash(name);
        match self.contest(name, doc.address) {
            Contest::Free => {}
            Contest::Won => {
                self.install_later();
                return;
            }
            Contest::Lost => {
                self.remove(name);
                return;
            }
        }
        let before = self.service(hash);
        let addr = self.bind_address(&doc);
        let socket = match &before {
            Some(service) if service.socket.addr() == addr => Rc::clone(&service.socket),
            _ => match self.listen_on(hash, addr) {
                Ok(socket) => socket,
                Err(err) => {
                    Event::new("service_bind_failed")
                        .field("service", name)
                        .field("address", addr)
                        .field("cause", err)
                        .error();
                    return;
                }
            },
        };
        if let Some(service) = &before {
            if !Rc::ptr_eq(&service.socket, &socket) {
                service.socket.close();
            }
        }
        let now = Instant::now();
        let service = Rc::new(Service::new(doc, socket, before.as_deref(), now));
        self.services.borrow_mut().insert(hash, Rc::clone(&service));
        self.note_zones(&service, before.as_deref());
    }

    /// Puts documents in force that could not be served before, as their address was taken.
    pub fn install_missing(self: &Rc<Self>) {
        let mut missing: Vec<(Rc<str>, Rc<ServiceDocument>)> = self
            .control
            .documents()
            .in_force()
            .filter(|(name, _, _)| !self.serves(name))
            .map(|(name, _, accepted)| (Rc::clone(name), Rc::clone(&accepted.document)))
            .collect();
        // The first by name goes first, so that it finds its address free.
        missing.sort_by(|(a, _), (b, _)| a.cmp(b));
        for (name, doc) in missing {
            self.install(&name, doc);
        }
    }

    /// Puts documents in force once the socket of a service that lost its address is closed.
    fn install_later(self: &Rc<Self>) {
        let path = Rc::clone(self);
        self.spawn("put_later", async move {
            monoio::time::sleep(SOCKET_CLOSES).await;
            path.install_missing();
            path.reconcile();
        });
    }

    fn serves(&self, name: &str) -> bool {
        self.service(name_hash(name))
            .is_some_and(|service| *service.name == *name)
    }

    /// Settles whether `name` may have its address: of two services with one address, or one hash, the first by name
    /// has it, whatever came first. The other one is not served.
    fn contest(self: &Rc<Self>, name: &str, address: SocketAddr) -> Contest {
        let hash = name_hash(name);
        let rivals: Vec<Rc<Service>> = self
            .services
            .borrow()
            .values()
            .filter(|other| *other.name != *name)
            .filter(|other| other.doc().address == address || other.hash == hash)
            .cloned()
            .collect();
        let wins = rivals.iter().all(|other| name < &*other.name);
        for other in &rivals {
            let (kept, lost) = if wins {
                (name, &*other.name)
            } else {
                (&*other.name, name)
            };
            Event::new("service_address_taken")
                .field("service", lost)
                .field("by", kept)
                .field("address", address)
                .error();
            if wins {
                self.remove(&other.name);
            }
        }
        match (rivals.is_empty(), wins) {
            (true, _) => Contest::Free,
            (false, true) => Contest::Won,
            (false, false) => Contest::Lost,
        }
    }

    fn bind_address(&self, doc: &ServiceDocument) -> SocketAddr {
        match self.listen {
            Some(ip) => SocketAddr::new(ip, doc.address.port()),
            None => doc.address,
        }
    }

    fn listen_on(self: &Rc<Self>, hash: u32, addr: SocketAddr) -> io::Result<Rc<Socket>> {
        let socket = Rc::new(Socket::bind(addr)?);
        let path = Rc::clone(self);
        let reader = Rc::clone(&socket);
        let name = format!("service {addr}");
        self.supervisor.child(&name, Restart::OnFailure, move |_| {
            let path = Rc::clone(&path);
            let reader = Rc::clone(&reader);
            async move { Ok(path.read_service(hash, reader).await?) }
        });
        Ok(socket)
    }

    /// Tells the flows of zones that went out of service, and records what changed.
    fn note_zones(self: &Rc<Self>, service: &Rc<Service>, before: Option<&Service>) {
        for zone in &service.doc().zones {
            let was = before.is_none_or(|before| before.zone_in_service(&zone.name));
            if was == zone.in_service {
                continue;
            }
            let name = Arc::clone(&service.name);
            let event = if zone.in_service {
                AuditEvent::ZoneIn {
                    service: name,
                    zone: Arc::clone(&zone.name),
                }
            } else {
                AuditEvent::ZoneOut {
                    service: name,
                    zone: Arc::clone(&zone.name),
                }
            };
            self.audit.record(event);
            if zone.in_service {
                self.take_zone_in(service, &zone.name);
            } else {
                self.retire_zone(service, &zone.name);
            }
        }
    }

    /// Upstreams of a returning zone may have restarted meanwhile: they begin at their cold-start allowance.
    fn take_zone_in(&self, service: &Rc<Service>, zone: &str) {
        for up in self.held_in_zone(zone) {
            up.load_mut().restart(Instant::now());
            let restored = up.flows.borrow_mut().restore(service.hash);
            for _ in 0..restored {
                up.load_mut().adopt();
            }
        }
    }

    fn retire_zone(&self, service: &Rc<Service>, zone: &str) {
        for up in self.held_in_zone(zone) {
            self.retire_flows(&up, service, FlowEnd::ZoneOut);
        }
    }

    /// Ends the flows of a service at one upstream and tells the callers of its feeds.
    fn retire_flows(&self, up: &Rc<Upstream>, service: &Service, reason: FlowEnd) {
        self.end_feeds(up, service);
        let ended = up.flows.borrow_mut().retire(service.hash, Instant::now());
        for _ in 0..ended {
            up.load_mut().disconnect();
            self.metrics.flows_ended.inc(reason);
        }
    }

    /// The upstreams of an availability zone that this daemon holds.
    pub fn held_in_zone(&self, zone: &str) -> Vec<Rc<Upstream>> {
        self.held_upstreams()
            .into_iter()
            .filter(|up| **up.zone() == *zone)
            .collect()
    }

    /// All upstreams that this daemon holds.
    pub fn held_upstreams(&self) -> Vec<Rc<Upstream>> {
        self.upstreams
            .borrow()
            .values()
            .filter_map(|ownership| match ownership {
                Ownership::Held(up) => Some(Rc::clone(up)),
                Ownership::Claiming(_) => None,
            })
            .collect()
    }

    fn remove(self: &Rc<Self>, name: &str) {
        if !self.serves(name) {
            return;
        }
        let removed = self.services.borrow_mut().remove(&name_hash(name));
        let Some(service) = removed else {
            return;
        };
        service.socket.close();
        for up in self.held_upstreams() {
            self.retire_flows(&up, &service, FlowEnd::ServiceRemoved);
        }
    }
}
