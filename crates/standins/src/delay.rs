//! A delay line for datagrams.

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

/// A datagram that is due to be sent.
struct Parcel {
    due: Instant,
    number: u64,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    payload: Vec<u8>,
}

impl Parcel {
    fn key(&self) -> (Instant, u64) {
        (self.due, self.number)
    }
}

impl PartialEq for Parcel {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Parcel {}

impl PartialOrd for Parcel {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Parcel {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

#[derive(Default)]
struct Queue {
    parcels: BinaryHeap<Reverse<Parcel>>,
    next: u64,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
}

/// Sends datagrams after a delay, those with the same due time in order.
pub(crate) struct DelayLine {
    shared: Arc<Shared>,
}

impl DelayLine {
    /// Starts the thread that sends.
    pub(crate) fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let line = shared.clone();
        thread::spawn(move || deliver(&line));
        DelayLine { shared }
    }

    /// Sends a datagram after `delay`, at once when it is zero.
    pub(crate) fn send(
        &self,
        socket: &Arc<UdpSocket>,
        to: SocketAddr,
        payload: &[u8],
        delay: Duration,
    ) {
        if delay.is_zero() {
            // A receiver that is gone is a case under test, as on a real network.
            let _ = socket.send_to(payload, to);
            return;
        }
        let mut queue = self.shared.queue.lock().unwrap();
        let number = queue.next;
        queue.next += 1;
        queue.parcels.push(Reverse(Parcel {
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
        match queue.parcels.peek().map(|first| first.0.due) {
            None => queue = shared.changed.wait(queue).unwrap(),
            Some(due) if due > now => {
                queue = shared.changed.wait_timeout(queue, due - now).unwrap().0;
            }
            Some(_) => {
                if let Some(Reverse(parcel)) = queue.parcels.pop() {
                    let _ = parcel.socket.send_to(&parcel.payload, parcel.to);
                }
            }
        }
    }
}
