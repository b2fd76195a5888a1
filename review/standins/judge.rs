//! What clients and servers have seen, and the rules that follow from it.

use crate::util::Record;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A flow, by its client's and its route's address and port.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

/// `flow_reorder_ms` of the small installations.
const FLOW_REORDER: Duration = Duration::from_millis(2_000);

struct Flow {
    server: u64,
    /// Arrivals at servers since the flow opened, and whether the server was the flow's own.
    arrivals: Vec<(Instant, bool)>,
    resets_of_own_server: u32,
    ended: Option<Instant>,
}

#[derive(Default)]
struct Seen {
    flows: HashMap<FlowKey, Flow>,
    flow_resets: u32,
    unasked: u32,
    mixed: u32,
    runs: HashMap<u64, u32>,
    asked: u32,
    answered: u32,
    failed: u32,
    opened: u64,
    openings: Vec<Opening>,
}

/// Opening packet that a server took.
#[derive(Clone, Debug)]
pub struct Opening {
    pub at: Instant,
    pub server: u64,
    pub zone: String,
    /// Data-plane address of the machine that sent it on.
    pub from: SocketAddr,
}

#[derive(Clone)]
pub struct Judge {
    seen: Arc<Mutex<Seen>>,
    pub record: Arc<Record>,
}

/// Counts of a run.
pub struct Counts {
    pub flow_resets: u32,
    pub flow_misled: u32,
    pub unasked: u32,
    pub mixed: u32,
    pub run_again: u32,
    pub asked: u32,
    pub answered: u32,
    pub failed: u32,
    pub opened: u64,
}

impl Judge {
    pub fn new(record: Arc<Record>) -> Self {
        Judge { seen: Arc::default(), record }
    }

    /// The server has the end of the handshake.
    pub fn opened(&self, key: FlowKey, server: u64) {
        let mut seen = self.seen.lock().unwrap();
        seen.opened += 1;
        let flow = Flow { server, arrivals: Vec::new(), resets_of_own_server: 0, ended: None };
        seen.flows.insert(key, flow);
        drop(seen);
        self.record.line(&format!("flow open {} -> {} at server {server:x}", key.0, key.1));
    }

    pub fn took_opening(&self, opening: Opening) {
        self.record.line(&format!(
            "server {:x} in {} takes an opening from {}",
            opening.server, opening.zone, opening.from
        ));
        self.seen.lock().unwrap().openings.push(opening);
    }

    pub fn openings(&self) -> Vec<Opening> {
        self.seen.lock().unwrap().openings.clone()
    }

    /// The client or the server has ended the flow.
    pub fn ended(&self, key: FlowKey) {
        if let Some(flow) = self.seen.lock().unwrap().flows.get_mut(&key) {
            flow.ended.get_or_insert(Instant::now());
        }
    }

    /// A packet of the client has reached a server.
    pub fn arrived(&self, key: FlowKey, server: u64, is_genuine: bool) {
        let mut seen = self.seen.lock().unwrap();
        if !is_genuine {
            seen.unasked += 1;
            self.record.line(&format!("UNASKED: server {server:x} got a packet changed on its way, {}", key.0));
        }
        if let Some(flow) = seen.flows.get_mut(&key).filter(|flow| flow.ended.is_none()) {
            let is_own = flow.server == server;
            flow.arrivals.push((Instant::now(), is_own));
            if !is_own {
                self.record.line(&format!(
                    "packet of flow {} -> {} of server {:x} reaches server {server:x}",
                    key.0, key.1, flow.server
                ));
            }
        }
    }

    pub fn server_reset(&self, key: FlowKey, server: u64) {
        let mut seen = self.seen.lock().unwrap();
        if let Some(flow) = seen.flows.get_mut(&key).filter(|flow| flow.server == server) {
            flow.resets_of_own_server += 1;
            flow.ended.get_or_insert(Instant::now());
        }
        self.record.line(&format!("server {server:x} resets {} -> {}", key.0, key.1));
    }

    /// A client has taken a reset; `own` are those that the system wrote itself.
    pub fn client_reset(&self, key: FlowKey, is_of_system: bool, why: &str) {
        let mut seen = self.seen.lock().unwrap();
        let by = match is_of_system {
            true => "the system",
            false => "a server",
        };
        let flow = seen.flows.get_mut(&key).filter(|flow| flow.ended.is_none());
        let broken = flow.as_ref().is_some_and(|flow| flow.resets_of_own_server == 0);
        let text = match &flow {
            Some(flow) => format!("open at server {:x}", flow.server),
            None => "not open".to_owned(),
        };
        if let Some(flow) = flow {
            flow.ended = Some(Instant::now());
        }
        if broken {
            seen.flow_resets += 1;
        }
        drop(seen);
        let line = format!("client's flow {} -> {} ({text}, {why}) reset by {by}", key.0, key.1);
        match broken {
            true => self.record.say(&format!("FLOW (a): {line}")),
            false => self.record.line(&line),
        }
    }

    pub fn mixed(&self, what: &str) {
        self.seen.lock().unwrap().mixed += 1;
        self.record.say(&format!("MIXED: {what}"));
    }

    pub fn asked(&self, id: u64, route: SocketAddrV4) {
        self.seen.lock().unwrap().asked += 1;
        self.record.line(&format!("request {id:016x} to {route} sent"));
    }

    pub fn ran(&self, id: u64, server: u64) {
        *self.seen.lock().unwrap().runs.entry(id).or_default() += 1;
        self.record.line(&format!("server {server:x} runs request {id:016x}"));
    }

    pub fn answered(&self, id: u64) {
        self.seen.lock().unwrap().answered += 1;
        self.record.line(&format!("request {id:016x} answered"));
    }

    pub fn failed(&self, id: u64, why: &str) {
        self.seen.lock().unwrap().failed += 1;
        self.record.line(&format!("request {id:016x} failed: {why}"));
    }

    pub fn counts(&self) -> Counts {
        let seen = self.seen.lock().unwrap();
        let misled = seen.flows.values().filter(|flow| is_misled(flow)).count();
        Counts {
            flow_resets: seen.flow_resets,
            flow_misled: misled as u32,
            unasked: seen.unasked,
            mixed: seen.mixed,
            run_again: seen.runs.values().filter(|n| **n > 1).count() as u32,
            asked: seen.asked,
            answered: seen.answered,
            failed: seen.failed,
            opened: seen.opened,
        }
    }
}

/// FLOW (b): for `flow_reorder_ms`, three or more packets reached other servers and none its own.
fn is_misled(flow: &Flow) -> bool {
    let others = || flow.arrivals.iter().filter(|(_, own)| !own).map(|(at, _)| *at);
    let owns = || flow.arrivals.iter().filter(|(_, own)| *own).map(|(at, _)| *at);
    others().any(|first| {
        let until = first + FLOW_REORDER;
        let lasts = flow.ended.is_none_or(|at| at >= until) && Instant::now() >= until;
        lasts
            && !owns().any(|at| at >= first && at < until)
            && others().filter(|at| *at >= first && *at < until).count() >= 3
    })
}
