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

/// Time within which the task that reads a closed socket ends.
const SOCKET_CLOSE_DELAY: Duration = Duration::from_millis(100);

/// Result of resolving a conflict about the address of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AddressConflict {
    /// No other service uses the address.
    Free,
    /// Another service used the address and was removed.
    Won,
    /// Another service keeps the address.
    Lost,
}

impl DataPath {
    /// Applies a document, or removes the service if there is none.
    pub fn apply(self: &Rc<Self>, name: &str, doc: Option<Rc<ServiceDocument>>) {
        match doc {
            Some(doc) => self.install(name, doc),
            None => self.remove(name),
        }
        self.reconcile();
    }

    fn install(self: &Rc<Self>, name: &str, doc: Rc<ServiceDocument>) {
        let hash = name_hash(name);
        match self.resolve_conflict(name, doc.address) {
            AddressConflict::Free => {}
            AddressConflict::Won => {
                self.install_later();
                return;
            }
            AddressConflict::Lost => {
                self.remove(name);
                return;
            }
        }
        let previous = self.service(hash);
        let addr = self.bind_address(&doc);
        let socket = match &previous {
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
        if let Some(service) = &previous {
            if !Rc::ptr_eq(&service.socket, &socket) {
                service.socket.close();
            }
        }
        let now = Instant::now();
        let service = Rc::new(Service::new(doc, socket, previous.as_deref(), now));
        self.services.borrow_mut().insert(hash, Rc::clone(&service));
        self.apply_zone_changes(&service, previous.as_deref());
    }

    /// Installs the documents that could not be served before because their address was in use.
    pub fn install_missing(self: &Rc<Self>) {
        let mut missing: Vec<(Rc<str>, Rc<ServiceDocument>)> = self
            .control
            .documents()
            .in_force()
            .filter(|(name, _, _)| !self.serves(name))
            .map(|(name, _, accepted)| (Rc::clone(name), Rc::clone(&accepted.document)))
            .collect();
        // In order of names, as the first by name has priority and must find its address free.
        missing.sort_by(|(a, _), (b, _)| a.cmp(b));
        for (name, doc) in missing {
            self.install(&name, doc);
        }
    }

    /// Installs documents once the socket of a service that lost its address is closed.
    fn install_later(self: &Rc<Self>) {
        let path = Rc::clone(self);
        self.spawn("put_later", async move {
            monoio::time::sleep(SOCKET_CLOSE_DELAY).await;
            path.install_missing();
            path.reconcile();
        });
    }

    fn serves(&self, name: &str) -> bool {
        self.service(name_hash(name))
            .is_some_and(|service| *service.name == *name)
    }

    /// Decides whether `name` may use its address. Of two services with the same address or the same hash, the first
    /// by name is served, regardless of which was installed first; the other one is not served.
    fn resolve_conflict(self: &Rc<Self>, name: &str, address: SocketAddr) -> AddressConflict {
        let hash = name_hash(name);
        let conflicting: Vec<Rc<Service>> = self
            .services
            .borrow()
            .values()
            .filter(|other| *other.name != *name)
            .filter(|other| other.doc().address == address || other.hash == hash)
            .cloned()
            .collect();
        let wins = conflicting.iter().all(|other| name < &*other.name);
        for other in &conflicting {
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
        match (conflicting.is_empty(), wins) {
            (true, _) => AddressConflict::Free,
            (false, true) => AddressConflict::Won,
            (false, false) => AddressConflict::Lost,
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

    /// Retires the flows of zones that went out of service, restores those of zones that are back, and records the
    /// changes.
    fn apply_zone_changes(self: &Rc<Self>, service: &Rc<Service>, previous: Option<&Service>) {
        for zone in &service.doc().zones {
            let was_in_service =
                previous.is_none_or(|previous| previous.zone_in_service(&zone.name));
            if was_in_service == zone.in_service {
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
                self.restore_zone(service, &zone.name);
            } else {
                self.retire_zone(service, &zone.name);
            }
        }
    }

    /// Restores the flows of a zone that is back in service. Its upstreams may have restarted in the meantime, so
    /// they start at their cold-start allowance.
    fn restore_zone(&self, service: &Rc<Service>, zone: &str) {
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

    /// Retires the flows of a service at one upstream and notifies the callers of its feeds.
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
