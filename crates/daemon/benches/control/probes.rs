//! Bytes and time of a round of probes, datagrams sealed but not sent.

use crate::{
    fleet::{
        Fleet,
        Start, //
    },
    members::member,
    meter::{
        print,
        time,
        us, //
    },
};
use foxtailhinge::members::{
    record,
    Control,
    Prober,
    RelaySender, //
};
use foxtailhinge_wire::{
    message::RelayMessage,
    ticket::name_hash, //
};
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc, //
};

/// Number of members whose records change in each round.
const CHANGING: usize = 12;

/// Source address of the answers.
const PEER: ([u8; 4], u16) = ([10, 0, 0, 1], 7000);

/// Seals datagrams and stores them instead of sending them.
struct Recorder {
    control: Rc<Control>,
    sent: RefCell<Vec<Vec<u8>>>,
}

/// The prober's sender, which shares the stored datagrams.
struct Sender(Rc<Recorder>);

impl RelaySender for Sender {
    fn send(&self, to: u32, _: SocketAddr, message: &RelayMessage) {
        let settings = self.0.control.settings();
        let me = name_hash(&settings.vm);
        let sealed = settings.keys.seal(me, settings.incarnation, to, message);
        self.0.sent.borrow_mut().push(sealed);
    }
}

pub(crate) fn run() {
    for n in [100, 343, 2_400] {
        for (changing, name) in [(0, "quiet"), (CHANGING, "with news")] {
            measure(n, changing, name);
        }
    }
}

fn measure(n: usize, changing: usize, name: &str) {
    let fleet = Fleet::new(&["windhoek-1"]);
    let control = Control::new(fleet.settings(&Start::new(0, [])));
    control.merge_peer_view((1..n).map(|i| record::to_wire(&member(i, 1))).collect());
    let recorder = Rc::new(Recorder {
        control: control.clone(),
        sent: RefCell::default(),
    });
    let prober = Prober::new(control.clone(), Sender(recorder.clone()));
    let mut version = 1;
    let mut bytes = 0;
    let mut rounds = 0;
    let round = time(200, || {
        version += 1;
        control.merge_members((1..=changing).map(|i| record::to_wire(&member(i, version))));
        prober.send_probes();
        let sent = recorder.sent.take();
        bytes += sent.iter().map(Vec::len).sum::<usize>();
        rounds += 1;
        answer(&control, &prober, &sent);
        let acks = recorder.sent.take();
        bytes += acks.iter().map(Vec::len).sum::<usize>();
    });
    let bytes = bytes / rounds;
    print(&format!("probes: a round, {name}: time"), n, us(round));
    print(
        &format!("probes: a round, {name}: sealed bytes sent"),
        n,
        format!("{bytes} B"),
    );
}

/// Answers each probe and probes back, as its receiver would on average.
fn answer(control: &Control, prober: &Prober<Sender>, sent: &[Vec<u8>]) {
    let settings = control.settings();
    let peer = member(1, 1);
    let from = name_hash(&peer.vm);
    for sealed in sent {
        // The receiver's hash is in bytes 9 to 12 of an envelope.
        let to = u32::from_be_bytes([sealed[9], sealed[10], sealed[11], sealed[12]]);
        let Ok(opened) = settings.keys.open::<RelayMessage>(to, sealed) else {
            continue;
        };
        if let RelayMessage::Ping { seq, updates } = opened.message {
            let ack = RelayMessage::Ack {
                seq,
                updates: updates.clone(),
            };
            prober.on_message(from, PEER.into(), ack);
            prober.on_message(from, PEER.into(), RelayMessage::Ping { seq, updates });
        }
    }
}
