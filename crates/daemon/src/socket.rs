//! UDP sockets of the data path.

use crate::wake::Wake;
use futures::future::{
    select,
    Either, //
};
use monoio::net::udp::UdpSocket;
use std::{
    cell::Cell,
    io,
    mem::ManuallyDrop,
    net::{
        SocketAddr,
        UdpSocket as StdSocket, //
    },
    os::fd::{
        AsRawFd,
        FromRawFd, //
    },
    pin::pin,
};

/// Largest datagram that is read, in bytes; what is longer is cut off and then malformed.
pub const DATAGRAM_MAX: usize = 2048;

/// Datagrams read in a row before other tasks get their turn.
const BURST: usize = 64;

/// A UDP socket that one task reads and any task writes.
///
/// Writing never waits: a datagram for which the kernel has no room is dropped and counted, as the
/// network would.
#[derive(Debug)]
pub struct Socket {
    /// Waits for datagrams, and owns the descriptor.
    rx: UdpSocket,
    /// The same descriptor, for calls that do not wait; it is never dropped.
    io: ManuallyDrop<StdSocket>,
    addr: SocketAddr,
    dropped: Cell<u64>,
    closed: Wake,
}

impl Socket {
    /// Binds `addr`; errors are those of the operating system.
    pub fn bind(addr: SocketAddr) -> io::Result<Socket> {
        Socket::adopt(StdSocket::bind(addr)?)
    }

    /// Binds any port of the wildcard address and connects it to `peer`, so that refusals are reported.
    pub fn connect(peer: SocketAddr) -> io::Result<Socket> {
        let any: SocketAddr = if peer.is_ipv4() {
            ([0, 0, 0, 0], 0).into()
        } else {
            ([0u16; 8], 0).into()
        };
        let socket = StdSocket::bind(any)?;
        socket.connect(peer)?;
        Socket::adopt(socket)
    }

    fn adopt(socket: StdSocket) -> io::Result<Socket> {
        socket.set_nonblocking(true)?;
        let addr = socket.local_addr()?;
        let rx = UdpSocket::from_std(socket)?;
        // SAFETY: `rx` owns the open descriptor, lives as long as `io`, and `io` never closes it.
        let io = unsafe { StdSocket::from_raw_fd(rx.as_raw_fd()) };
        Ok(Socket {
            rx,
            io: ManuallyDrop::new(io),
            addr,
            dropped: Cell::new(0),
            closed: Wake::default(),
        })
    }

    /// The bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Datagrams dropped for want of room.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Sends one datagram; false when it was dropped.
    pub fn send_to(&self, buf: &[u8], to: SocketAddr) -> bool {
        self.count(self.io.send_to(buf, to)).is_ok()
    }

    /// Sends one datagram to the connected peer.
    pub fn send(&self, buf: &[u8]) -> io::Result<()> {
        self.count(self.io.send(buf))
    }

    fn count(&self, res: io::Result<usize>) -> io::Result<()> {
        if res.is_err() {
            self.dropped.set(self.dropped.get() + 1);
        }
        res.map(|_| ())
    }

    /// Ends the task that reads the socket.
    pub fn close(&self) {
        self.closed.set();
    }

    /// Reads datagrams until the socket is closed or fails, and gives each to `handle`.
    ///
    /// A refusal reported by the peer's host is given to `refused`; it does not end the loop.
    pub async fn read_each(
        &self,
        handle: impl FnMut(&[u8], SocketAddr),
        refused: impl FnMut(),
    ) -> io::Result<()> {
        let reading = pin!(self.read_on(handle, refused));
        match select(pin!(self.closed.wait()), reading).await {
            Either::Left(((), _)) => Ok(()),
            Either::Right((failed, _)) => failed,
        }
    }

    async fn read_on(
        &self,
        mut handle: impl FnMut(&[u8], SocketAddr),
        mut refused: impl FnMut(),
    ) -> io::Result<()> {
        loop {
            self.rx.readable(false).await?;
            self.read_burst(&mut handle, &mut refused)?;
        }
    }

    /// Reads what has arrived; its buffer is on the stack, so that a socket at rest holds none.
    fn read_burst(
        &self,
        handle: &mut impl FnMut(&[u8], SocketAddr),
        refused: &mut impl FnMut(),
    ) -> io::Result<()> {
        let mut buf = [0u8; DATAGRAM_MAX];
        for _ in 0..BURST {
            match self.io.recv_from(&mut buf) {
                Ok((len, from)) => handle(&buf[..len], from),
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => refused(),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
