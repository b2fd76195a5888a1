//! One request of a caller, with its repeats, retransmissions and blocks.

use crate::{
    caller::{
        hex,
        Answer,
        Outcome,
        Prepared,
        Shared, //
    },
    message::{
        self,
        Block, //
    }, //
};
use coap_lite::{
    CoapOption,
    Packet,
    RequestType,
    ResponseType, //
};
use std::{
    sync::mpsc::Receiver,
    time::{
        Duration,
        Instant, //
    }, //
};

/// Upper limit on attempts; a new ticket or a changed ETag causes another one.
const MAX_ATTEMPTS: u32 = 8;

/// A request in progress.
pub(super) struct Exchange<'a> {
    pub(super) shared: &'a Shared,
    pub(super) method: RequestType,
    pub(super) path: &'a str,
    pub(super) payload: &'a [u8],
    pub(super) began: Instant,
    pub(super) expires: Instant,
}

/// Result of sending one message of a request.
enum Step {
    Done(Outcome),
    Repeat,
    Content { packet: Packet, generation: u64 },
}

impl Exchange<'_> {
    /// Sends the request and returns its outcome.
    pub(super) fn run(&self) -> Outcome {
        for _ in 0..MAX_ATTEMPTS {
            match self.fetch_all_blocks() {
                Step::Done(outcome) => return outcome,
                Step::Repeat => {}
                Step::Content { .. } => unreachable!("`fetch_all_blocks` returns no single block"),
            }
        }
        Outcome::TimedOut
    }

    /// Fetches the answer with all its blocks.
    fn fetch_all_blocks(&self) -> Step {
        let id = hex(&self.shared.new_token());
        let (first, generation) = match self.step(None, &id) {
            Step::Content { packet, generation } => (packet, generation),
            other => return other,
        };
        let code = message::code(&first).unwrap_or(ResponseType::Content);
        let tag = message::bytes(&first, CoapOption::ETag).map(<[u8]>::to_vec);
        let mut block = Block::of(&first);
        let mut payload = first.payload;
        let mut blocks = 1;
        while let Some(last) = block.filter(|block| block.more) {
            let next = Block {
                number: last.number + 1,
                more: false,
                ..last
            };
            let packet = match self.step(Some(next), &id) {
                Step::Content { packet, .. } => packet,
                other => return other,
            };
            if message::bytes(&packet, CoapOption::ETag) != tag.as_deref() {
                self.shared.counts().changed += 1;
                return Step::Repeat;
            }
            block = Block::of(&packet);
            payload.extend_from_slice(&packet.payload);
            blocks += 1;
        }
        self.shared.check(&payload, self.path, &id, generation);
        Step::Done(Outcome::Answered(Answer {
            code,
            payload,
            blocks,
            took: self.began.elapsed(),
        }))
    }

    /// Sends one message; while no flow is open, only one request at a time may open one.
    fn step(&self, block: Option<Block>, id: &str) -> Step {
        let opening = self.shared.opening.lock().unwrap();
        if self.shared.flow().ticket.is_some() {
            drop(opening);
            return self.send(block, id);
        }
        self.send(block, id)
    }

    fn send(&self, block: Option<Block>, id: &str) -> Step {
        let token = self.shared.new_token();
        let Prepared {
            mut packet,
            generation,
        } = self.shared.prepare(self.method, self.path, &token);
        message::put_queries(&mut packet, &self.shared.spec.service, id);
        packet.payload = self.payload.to_vec();
        if let Some(block) = block {
            block.put(&mut packet);
        }
        let rx = self.shared.wait_for(&token);
        let answer = self.transmit(packet, &rx);
        self.shared.stop_waiting(&token);
        match answer {
            Some(answer) => self.classify(answer, generation),
            None => Step::Done(Outcome::TimedOut),
        }
    }

    /// Sends and retransmits a message until an answer arrives or the request expires.
    fn transmit(&self, mut packet: Packet, rx: &Receiver<Packet>) -> Option<Packet> {
        let mut wait = self.shared.initial_timeout();
        for sent in 0..=self.shared.spec.max_retransmit {
            let left = self.remaining()?;
            let option = CoapOption::Unknown(message::DEADLINE);
            message::put_uint(&mut packet, option, left.as_millis() as u64);
            self.shared.send(&packet);
            self.shared.counts().retransmissions += u64::from(sent > 0);
            if let Ok(answer) = rx.recv_timeout(wait.min(left)) {
                return Some(answer);
            }
            wait *= 2;
        }
        rx.recv_timeout(self.remaining()?).ok()
    }

    fn remaining(&self) -> Option<Duration> {
        let left = self.expires.checked_duration_since(Instant::now())?;
        (!left.is_zero()).then_some(left)
    }

    fn classify(&self, packet: Packet, generation: u64) -> Step {
        self.shared.update_ticket(&packet, generation);
        match message::code(&packet) {
            Some(ResponseType::Unauthorized) if message::ticket(&packet).is_some() => Step::Repeat,
            Some(ResponseType::Unauthorized) => {
                self.shared.retire(generation);
                Step::Done(Outcome::FlowRetired)
            }
            Some(ResponseType::ServiceUnavailable) => Step::Done(Outcome::NotRun {
                retry_after: message::max_age(&packet),
            }),
            Some(ResponseType::GatewayTimeout) => Step::Done(Outcome::Unknown),
            _ => Step::Content { packet, generation },
        }
    }
}
