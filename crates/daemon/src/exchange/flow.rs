//! Flows that an owner holds for one upstream.

use crate::exchange::number_hash::NumberState;
use foxtailhinge_policy::{
    coarse_time::CoarseInstant,
    ledger::FlowLedger, //
};
use foxtailhinge_wire::{
    message::FlowKey,
    ticket::Ticket, //
};
use std::{
    cell::Cell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

/// Time within which a caller has to use the ticket of a newly opened flow.
pub const OPEN_LEASE: Duration = Duration::from_secs(60);

/// Time for which a retired flow still answers retransmissions of its requests.
pub const RETIRED_LEASE: Duration = Duration::from_secs(60);

/// Generator of flow numbers, unique within one incarnation of the daemon.
#[derive(Debug, Default)]
pub struct FlowNumbers(Cell<u32>);

impl FlowNumbers {
    /// Returns the next flow number.
    pub fn next(&self) -> u32 {
        let n = self.0.get().wrapping_add(1);
        self.0.set(n);
        n
    }
}

/// A flow: the assignment of a caller to this upstream.
#[derive(Debug)]
pub struct Flow {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name within the service.
    pub upstream_hash: u32,
    /// Address from which the caller last sent a request.
    pub caller: SocketAddr,
    /// When the caller last sent a request, or when the flow was retired.
    pub last_seen: CoarseInstant,
    /// Whether the upstream has answered a request of the flow; assumed for flows of another owner.
    pub answered: bool,
    /// Whether the flow is retired; it then only answers retransmissions.
    pub retired: bool,
    /// Ensures that requests that are not idempotent run at most once.
    pub ledger: FlowLedger,
}

/// Initial attributes of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowStart {
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the upstream's name within the service.
    pub upstream_hash: u32,
    /// Address of the caller.
    pub caller: SocketAddr,
}

/// The flow that an earlier key still refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Alias {
    /// The flow's number at this owner.
    pub flow: u32,
    /// Whether the ledger covers requests sent with the earlier key.
    pub ledger: bool,
}

/// Result of looking up a ticket at this owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowLookup {
    /// A flow held here.
    Held {
        /// The flow's number.
        flow: u32,
        /// Whether the ledger covers requests sent with the ticket.
        ledger: bool,
    },
    /// A flow that was opened here; its ticket was not used yet.
    Opened {
        /// The flow's number.
        flow: u32,
    },
    /// No flow: it ended, or its owner is gone.
    Unknown,
}

/// Numbers of flows removed by [`Flows::expire`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiredFlows {
    /// Flows that held a connection and were idle for too long.
    pub idle: usize,
    /// Opened flows whose callers did not use the ticket in time.
    pub unconfirmed: usize,
}

/// The flows of one upstream.
#[derive(Debug)]
pub struct Flows {
    owner: u32,
    incarnation: u32,
    numbers: Rc<FlowNumbers>,
    held: HashMap<u32, Flow, NumberState>,
    aliases: HashMap<FlowKey, Alias, NumberState>,
    opened: HashMap<u32, Instant, NumberState>,
}

impl Flows {
    /// Creates an empty set; `owner` and `incarnation` are those of this daemon.
    pub fn new(owner: u32, incarnation: u32, numbers: Rc<FlowNumbers>) -> Flows {
        Flows {
            owner,
            incarnation,
            numbers,
            held: HashMap::default(),
            aliases: HashMap::default(),
            opened: HashMap::default(),
        }
    }

    /// Number of held flows, including retired ones.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no flow is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Opens a flow and returns its number; the flow is not held until the caller uses the ticket.
    pub fn open(&mut self, now: Instant) -> u32 {
        let flow = self.numbers.next();
        self.opened.insert(flow, now);
        flow
    }

    /// Looks up the flow of `ticket`.
    pub fn find(&self, ticket: &Ticket) -> FlowLookup {
        let Some(alias) = self.alias(ticket_key(ticket)) else {
            return FlowLookup::Unknown;
        };
        if self.opened.contains_key(&alias.flow) {
            return FlowLookup::Opened { flow: alias.flow };
        }
        if self.held.contains_key(&alias.flow) {
            return FlowLookup::Held {
                flow: alias.flow,
                ledger: alias.ledger,
            };
        }
        FlowLookup::Unknown
    }

    /// Resolves a key. A flow that returned to this owner or was resumed again has another number here than in its
    /// key.
    fn alias(&self, key: FlowKey) -> Option<Alias> {
        let own = Alias {
            flow: key.flow,
            ledger: true,
        };
        let alias = self.aliases.get(&key).copied();
        alias.or_else(|| self.is_own(key).then_some(own))
    }

    /// Removes the opened flows that are not confirmed yet and returns their keys.
    pub fn take_opened(&mut self) -> Vec<FlowKey> {
        let opened = std::mem::take(&mut self.opened);
        opened.into_keys().map(|flow| self.key(flow)).collect()
    }

    /// Ends an opened flow before its ticket is used; the ticket becomes invalid.
    pub fn end_opened(&mut self, flow: u32) {
        self.opened.remove(&flow);
        self.aliases.retain(|_, alias| alias.flow != flow);
    }

    /// Imports a flow that its former owner had opened.
    pub fn import_opened(&mut self, key: FlowKey, now: Instant) {
        let flow = self.open(now);
        self.aliases.insert(key, Alias { flow, ledger: true });
    }

    /// Number and attributes of the flow with this key.
    pub fn resolve(&self, key: FlowKey) -> Option<(u32, FlowStart)> {
        let flow = self.alias(key)?.flow;
        let entry = self.held.get(&flow)?;
        let start = FlowStart {
            service: entry.service,
            upstream_hash: entry.upstream_hash,
            caller: entry.caller,
        };
        Some((flow, start))
    }

    /// Holds a flow that was opened here, after its caller used the ticket.
    pub fn confirm(&mut self, flow: u32, start: FlowStart, now: Instant) {
        self.opened.remove(&flow);
        self.insert(flow, start, FlowLedger::new(), false, now);
    }

    /// Resumes a flow of an owner that is gone; the ledger covers no request that was sent before.
    pub fn resume(&mut self, ticket: &Ticket, start: FlowStart, now: Instant) -> u32 {
        let key = ticket_key(ticket);
        let flow = self.numbers.next();
        let ledger = FlowLedger::resume(ticket.epoch);
        self.insert(flow, start, ledger, true, now);
        self.aliases.insert(
            key,
            Alias {
                flow,
                ledger: false,
            },
        );
        flow
    }

    /// Imports a flow handed over by its former owner, under all its keys.
    pub fn import(
        &mut self,
        keys: &[FlowKey],
        start: FlowStart,
        ledger: FlowLedger,
        now: Instant,
    ) -> u32 {
        let flow = self.numbers.next();
        self.insert(flow, start, ledger, true, now);
        for key in keys {
            self.aliases.insert(*key, Alias { flow, ledger: true });
        }
        flow
    }

    fn insert(
        &mut self,
        flow: u32,
        start: FlowStart,
        ledger: FlowLedger,
        answered: bool,
        now: Instant,
    ) {
        let entry = Flow {
            service: start.service,
            upstream_hash: start.upstream_hash,
            caller: start.caller,
            last_seen: CoarseInstant::at(now),
            answered,
            retired: false,
            ledger,
        };
        self.held.insert(flow, entry);
    }

    /// The flow with this number.
    pub fn get_mut(&mut self, flow: u32) -> Option<&mut Flow> {
        self.held.get_mut(&flow)
    }

    /// All flows with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Flow)> {
        self.held.iter().map(|(flow, entry)| (*flow, entry))
    }

    /// All keys that callers may still use for each flow, by flow number.
    pub fn keys(&self) -> HashMap<u32, Vec<FlowKey>> {
        let mut keys: HashMap<u32, Vec<FlowKey>> = self
            .held
            .keys()
            .map(|flow| (*flow, vec![self.key(*flow)]))
            .collect();
        for (key, alias) in &self.aliases {
            if let Some(flow_keys) = keys.get_mut(&alias.flow) {
                if alias.ledger {
                    flow_keys.push(*key);
                }
            }
        }
        keys
    }

    /// All flows with their numbers, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Flow)> {
        self.held.iter_mut().map(|(flow, entry)| (*flow, entry))
    }

    /// Retires the flows of `service` and returns how many were retired.
    pub fn retire(&mut self, service: u32, now: Instant) -> usize {
        let mut count = 0;
        for flow in self.held.values_mut() {
            if flow.service == service && !flow.retired {
                flow.retired = true;
                flow.last_seen = CoarseInstant::at(now);
                count += 1;
            }
        }
        count
    }

    /// Restores the flows of `service` that were retired but not removed yet, and returns how many were restored.
    pub fn restore(&mut self, service: u32) -> usize {
        let flows = self.held.values_mut();
        let retired = flows.filter(|flow| flow.service == service && flow.retired);
        retired.map(|flow| flow.retired = false).count()
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: u32) -> Option<Flow> {
        self.aliases.retain(|_, alias| alias.flow != flow);
        self.held.remove(&flow)
    }

    /// Removes flows that were idle for longer than the `idle` time of their service, and flows whose lease has
    /// expired.
    pub fn expire(&mut self, now: Instant, idle: impl Fn(u32) -> Duration) -> ExpiredFlows {
        let opened_before = self.opened.len();
        self.opened
            .retain(|_, at| now.saturating_duration_since(*at) < OPEN_LEASE);
        let mut ended = Vec::new();
        let mut lapsed = Vec::new();
        for (number, flow) in &mut self.held {
            flow.ledger.expire(now);
            let idle_time = flow.last_seen.elapsed_at(now);
            if flow.retired && idle_time >= RETIRED_LEASE {
                lapsed.push(*number);
            }
            if !flow.retired && idle_time >= idle(flow.service) {
                ended.push(*number);
            }
        }
        for number in ended.iter().chain(&lapsed) {
            self.held.remove(number);
        }
        if opened_before != self.opened.len() || !(ended.is_empty() && lapsed.is_empty()) {
            let (held, opened) = (&self.held, &self.opened);
            self.aliases.retain(|_, alias| {
                held.contains_key(&alias.flow) || opened.contains_key(&alias.flow)
            });
        }
        ExpiredFlows {
            idle: ended.len(),
            unconfirmed: opened_before - self.opened.len(),
        }
    }

    /// Key by which tickets of this owner refer to `flow`.
    pub fn key(&self, flow: u32) -> FlowKey {
        FlowKey {
            owner: self.owner,
            owner_incarnation: self.incarnation,
            flow,
        }
    }

    fn is_own(&self, key: FlowKey) -> bool {
        key.owner == self.owner && key.owner_incarnation == self.incarnation
    }
}

/// Key of the flow that a ticket refers to.
pub fn ticket_key(ticket: &Ticket) -> FlowKey {
    FlowKey {
        owner: ticket.owner,
        owner_incarnation: ticket.owner_incarnation,
        flow: ticket.flow,
    }
}
