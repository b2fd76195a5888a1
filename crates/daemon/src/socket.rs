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

/// Maximum size of a received datagram in bytes; a longer one is truncated and then rejected as malformed.
pub const DATAGRAM_MAX: usize = 2048;

/// Maximum number of datagrams read in a row before other tasks can run.
pub const BURST_MAX: usize = 64;

/// A UDP socket that one task reads and any task writes.
///
/// Writing never blocks: a datagram for which the kernel has no buffer space is dropped and counted,
/// just as the network may drop it.
#[derive(Debug)]
pub struct Socket {
    /// Owns the descriptor and waits for datagrams.
    rx: UdpSocket,
    /// The same descriptor for non-blocking calls; never dropped, because `rx` closes the descriptor.
    io: ManuallyDrop<StdSocket>,
    addr: SocketAddr,
    dropped: Cell<u64>,
    closed: Wake,
}

impl Socket {
    /// Binds `addr`; returns the errors of the operating system.
    pub fn bind(addr: SocketAddr) -> io::Result<Socket> {
        Socket::adopt(StdSocket::bind(addr)?)
    }

    /// Binds any port of the wildcard address and connects it to `peer`, so that the kernel reports refused datagrams.
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

    /// Returns the local address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of datagrams whose send failed, as when the kernel has no buffer space.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Sends one datagram; returns false if it was dropped.
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

    /// Ends [`Socket::read_each`] and [`Socket::read_bursts`].
    pub fn close(&self) {
        self.closed.set();
    }

    /// Reads datagrams until the socket is closed or fails, and passes each to `handle`.
    ///
    /// `refused` is called for each refusal that the peer's host reports, which does not end the loop.
    pub async fn read_each(
        &self,
        handle: impl FnMut(&[u8], SocketAddr),
        refused: impl FnMut(),
    ) -> io::Result<()> {
        self.read_bursts(handle, refused, || ()).await
    }

    /// Like [`Socket::read_each`], and calls `end_burst` after the datagrams that were read in a row, also when the socket
    /// fails among them.
    pub async fn read_bursts(
        &self,
        handle: impl FnMut(&[u8], SocketAddr),
        refused: impl FnMut(),
        end_burst: impl FnMut(),
    ) -> io::Result<()> {
        let reading = pin!(self.read_loop(handle, refused, end_burst));
        match select(pin!(self.closed.wait()), reading).await {
            Either::Left(((), _)) => Ok(()),
            Either::Right((failed, _)) => failed,
        }
    }

    async fn read_loop(
        &self,
        mut handle: impl FnMut(&[u8], SocketAddr),
        mut refused: impl FnMut(),
        mut end_burst: impl FnMut(),
    ) -> io::Result<()> {
        loop {
            self.rx.readable(false).await?;
            let burst = self.read_burst(&mut handle, &mut refused);
            end_burst();
            burst?;
        }
    }

    /// Reads datagrams that have arrived. The buffer is on the stack, so that an idle socket holds none.
    fn read_burst(
        &self,
        handle: &mut impl FnMut(&[u8], SocketAddr),
        refused: &mut impl FnMut(),
    ) -> io::Result<()> {
        let mut buf = [0u8; DATAGRAM_MAX];
        for _ in 0..BURST_MAX {
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
