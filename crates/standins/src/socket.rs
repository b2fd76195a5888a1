//! Reads of UDP sockets with a finer timeout than the socket option has.

use std::{
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    os::fd::AsRawFd,
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
