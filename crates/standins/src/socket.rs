//! Sockets with options that the standard library does not set.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4,
        TcpListener,
        UdpSocket, //
    },
    os::fd::{
        AsRawFd,
        FromRawFd, //
    },
    time::Duration, //
};

/// Largest datagram that the stand-ins read, in bytes.
pub const DATAGRAM_MAX: usize = 65_536;

/// Reads one datagram, or returns `None` if none arrives within `wait`.
///
/// Also returns `None` when the system reports that an earlier datagram was refused.
///
/// # Errors
///
/// Fails if polling or reading the socket fails with any other error.
pub fn read(
    socket: &UdpSocket,
    buf: &mut [u8],
    wait: Duration,
) -> io::Result<Option<(usize, SocketAddr)>> {
    if !readable(socket, wait)? {
        return Ok(None);
    }
    match socket.recv_from(buf) {
        Ok(found) => Ok(Some(found)),
        Err(e) if is_transient(&e) => Ok(None),
        Err(e) => Err(e),
    }
}

fn is_transient(e: &io::Error) -> bool {
    use io::ErrorKind::{
        ConnectionRefused,
        Interrupted,
        WouldBlock, //
    };
    matches!(e.kind(), ConnectionRefused | Interrupted | WouldBlock)
}

/// Waits for a datagram; returns whether the socket is readable.
fn readable(socket: &UdpSocket, wait: Duration) -> io::Result<bool> {
    let mut poll = libc::pollfd {
        fd: socket.as_raw_fd(),
        events: libc::POLLIN,
        revents: 0,
    };
    let limit = libc::timespec {
        tv_sec: wait.as_secs() as libc::time_t,
        tv_nsec: libc::c_long::from(wait.subsec_nanos() as i32),
    };
    // SAFETY: `poll` and `limit` live through the call, and the count is that of the one entry.
    let ready = unsafe { libc::ppoll(&mut poll, 1, &limit, std::ptr::null()) };
    if ready < 0 {
        let e = io::Error::last_os_error();
        return if is_transient(&e) { Ok(false) } else { Err(e) };
    }
    Ok(ready > 0)
}

/// Connections that wait to be accepted by a listener of [`listen_beside`].
const BACKLOG: libc::c_int = 64;

/// Listens at an address at which another process of this user listens with `SO_REUSEPORT`, as daemons do. The system
/// spreads new connections over all listeners of the address.
///
/// # Errors
///
/// Fails when the other listener does not share its address.
pub fn listen_beside(addr: SocketAddrV4) -> io::Result<TcpListener> {
    // SAFETY: the call takes no pointers.
    let fd = unsafe { libc::socket(libc::AF_INET, libc::SOCK_STREAM | libc::SOCK_CLOEXEC, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor is new, so that nothing else owns it.
    let listener = unsafe { TcpListener::from_raw_fd(fd) };
    let on: libc::c_int = 1;
    let name = libc::sockaddr_in {
        sin_family: libc::AF_INET as libc::sa_family_t,
        sin_port: addr.port().to_be(),
        sin_addr: libc::in_addr {
            s_addr: u32::from(*addr.ip()).to_be(),
        },
        sin_zero: [0; 8],
    };
    // SAFETY: `on` and `name` live through the calls, and the lengths are theirs.
    let results = unsafe {
        [
            libc::setsockopt(
                fd,
                libc::SOL_SOCKET,
                libc::SO_REUSEPORT,
                (&raw const on).cast(),
                size_of_val(&on) as libc::socklen_t,
            ),
            libc::bind(
                fd,
                (&raw const name).cast(),
                size_of_val(&name) as libc::socklen_t,
            ),
            libc::listen(fd, BACKLOG),
        ]
    };
    match results.iter().any(|result| *result < 0) {
        true => Err(io::Error::last_os_error()),
        false => Ok(listener),
    }
}
