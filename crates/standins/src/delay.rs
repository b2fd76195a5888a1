//! Delayed sending of datagrams.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

/// A datagram that waits for its due time.
struct DelayedDatagram {
    due: Instant,
    number: u64,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    payload: Vec<u8>,
}

impl DelayedDatagram {
    fn key(&self) -> (Instant, u64) {
        (self.due, self.number)
    }
}

impl PartialEq for DelayedDatagram {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for DelayedDatagram {}

impl PartialOrd for DelayedDatagram {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedDatagram {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

#[derive(Default)]
struct Queue {
    datagrams: BinaryHeap<Reverse<DelayedDatagram>>,
    next_number: u64,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

/// Sends datagrams after a delay; those with the same due time stay in order.
pub(crate) struct DelayLine {
    shared: Arc<Shared>,
}

impl DelayLine {
    /// Starts the sending thread, which ends when the delay line is dropped.
    pub(crate) fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let line = shared.clone();
        thread::spawn(move || deliver(&line));
        DelayLine { shared }
    }

    /// Sends a datagram after `delay`, or at once if the delay is zero.
    pub(crate) fn send(
        &self,
        socket: &Arc<UdpSocket>,
        to: SocketAddr,
        payload: &[u8],
        delay: Duration,
    ) {
        if delay.is_zero() {
            // Tests stop receivers on purpose; a lost datagram is normal, as on a real network.
            let _ = socket.send_to(payload, to);
            return;
        }
        let mut queue = self.shared.queue.lock().unwrap();
        let number = queue.next_number;
        queue.next_number += 1;
        queue.datagrams.push(Reverse(DelayedDatagram {
            due: Instant::now() + delay,
            number,
            socket: socket.clone(),
            to,
            payload: payload.to_vec(),
        }));
        self.shared.changed.notify_one();
    }
}

impl Drop for DelayLine {
    fn drop(&mut self) {
        self.shared.queue.lock().unwrap().closed = true;
        self.shared.changed.notify_one();
    }
}

fn deliver(shared: &Shared) {
    let mut queue = shared.queue.lock().unwrap();
    while !queue.closed {
        let now = Instant::now();
        match queue.datagrams.peek().map(|first| first.0.due) {
            None => queue = shared.changed.wait(queue).unwrap(),
            Some(due) if due > now => {
                queue = shared.changed.wait_timeout(queue, due - now).unwrap().0;
            }
            Some(_) => {
                if let Some(Reverse(datagram)) = queue.datagrams.pop() {
                    let _ = datagram.socket.send_to(&datagram.payload, datagram.to);
                }
            }
        }
    }
}
