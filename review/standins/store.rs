//! Stand-in for the platform's store: linearizable, read over HTTP/1.1, written by the scenario only.

use crate::util::base64;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Default)]
pub struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, u64, Vec<u8>)>,
    /// Changes by revision; `None` is a removal.
    history: BTreeMap<u64, (String, u64, Option<Vec<u8>>)>,
}

struct State {
    now: Contents,
    era: u64,
    /// While the store is away it closes every connection without an answer.
    away: bool,
    /// Connections accepted so far, and how many of the first ones have gone silent for good.
    accepted: u64,
    silent: u64,
}

/// What a call gets.
enum Answer {
    Whole(&'static str, String, u64),
    Closed,
    Nothing,
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(addr: SocketAddrV4) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let now = Contents { revision: 1, ..Contents::default() };
        let store = Store(Arc::new((Mutex::new(State { now, era: 1, away: false, accepted: 0, silent: 0 }), Condvar::new())));
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it; the return is the ack.
    pub fn write(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.0 .0.lock().unwrap();
        state.now.revision += 1;
        let revision = state.now.revision;
        let value = value.map(String::into_bytes);
        let created = state.now.items.get(key).map_or(revision, |item| item.1);
        match &value {
            Some(bytes) => {
                state.now.items.insert(key.to_owned(), (revision, created, bytes.clone()));
            }
            None => {
                state.now.items.remove(key);
            }
        }
        state.now.history.insert(revision, (key.to_owned(), created, value));
        self.0 .1.notify_all();
        revision
    }

    pub fn copy(&self) -> Contents {
        self.0 .0.lock().unwrap().now.clone()
    }

    pub fn set_away(&self, away: bool) {
        self.0 .0.lock().unwrap().away = away;
        self.0 .1.notify_all();
    }

    /// Lets all connections that are open go silent for good, without a reset; new ones work.
    pub fn silence_connections(&self) {
        let mut state = self.0 .0.lock().unwrap();
        state.silent = state.accepted;
        self.0 .1.notify_all();
    }

    /// Puts a copy in the place of the contents; the era rises by one.
    pub fn restore(&self, copy: Contents) {
        let mut state = self.0 .0.lock().unwrap();
        state.now = copy;
        state.era += 1;
        self.0 .1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let number = {
            let mut state = self.0 .0.lock().unwrap();
            state.accepted += 1;
            state.accepted
        };
        let mut lines = BufReader::new(stream.try_clone()?);
        loop {
            let mut first = String::new();
            if lines.read_line(&mut first)? == 0 {
                return Ok(());
            }
            loop {
                let mut line = String::new();
                if lines.read_line(&mut line)? == 0 || line.trim().is_empty() {
                    break;
                }
            }
            let target = first.split(' ').nth(1).unwrap_or("").to_owned();
            let (status, body, era) = match self.answer(&target, number) {
                Answer::Whole(status, body, era) => (status, body, era),
                Answer::Closed => return Ok(()),
                Answer::Nothing => continue,
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(body.as_bytes())?;
        }
    }

    fn answer(&self, target: &str, connection: u64) -> Answer {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let arg = |name: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            pair.map(decode).unwrap_or_default()
        };
        let mut state = self.0 .0.lock().unwrap();
        if connection <= state.silent {
            return Answer::Nothing;
        }
        if state.away {
            return Answer::Closed;
        }
        let prefix = arg("prefix");
        if path == "/api/kv-range" {
            let after = arg("after");
            let fits = |key: &str| key.starts_with(&prefix) && (after.is_empty() || key > after.as_str());
            let found: Vec<_> = state.now.items.iter().filter(|(key, _)| fits(key)).take(501).collect();
            let items: Vec<_> = found
                .iter()
                .take(500)
                .map(|(key, (rev, made, value))| item(key, *rev, *made, Some(value)))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"has_more\":{},\"store_revision\":{}}}",
                items.join(","),
                found.len() > 500,
                state.now.revision
            );
            return Answer::Whole("200 OK", body, state.era);
        }
        if path != "/api/kv-watch" {
            return Answer::Whole("404 Not Found", String::new(), state.era);
        }
        let after: u64 = arg("after").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(arg("wait_ms").parse().unwrap_or(0));
        let era = state.era;
        loop {
            if connection <= state.silent {
                return Answer::Nothing;
            }
            if state.away || state.era != era {
                return Answer::Closed;
            }
            if after > state.now.revision {
                return Answer::Whole("410 Gone", String::new(), era);
            }
            let newer = state.now.history.range(after + 1..).filter(|(_, (key, ..))| key.starts_with(&prefix));
            let events: Vec<_> =
                newer.map(|(rev, (key, made, value))| item(key, *rev, *made, value.as_ref())).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!("{{\"events\":[{}],\"store_revision\":{}}}", events.join(","), state.now.revision);
                return Answer::Whole("200 OK", body, era);
            }
            state = self.0 .1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, revision: u64, created: u64, value: Option<&Vec<u8>>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created_rev\":{created},\"lease\":0}}",
            base64(value)
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let hex: Vec<u8> = bytes.by_ref().take(2).collect();
                let hex = String::from_utf8_lossy(&hex).into_owned();
                out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            b => out.push(b),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
