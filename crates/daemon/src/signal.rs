//! Process signals: the first SIGTERM or SIGINT asks for a graceful stop, the second ends the
//! process at once.

use monoio::{
    io::AsyncReadRent,
    net::UnixStream, //
};
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    flag,
    low_level::pipe, //
};
use std::{
    io,
    os::unix::net::UnixStream as StdUnixStream,
    sync::{
        atomic::AtomicBool,
        Arc, //
    },
};

/// Added to the number of a signal in the exit code of a process that it ends.
const EXIT_CODE_BASE: i32 = 128;

/// Signals that ask the process to stop.
#[derive(Debug)]
pub struct Signals {
    arrived: UnixStream,
}

impl Signals {
    /// Takes over SIGTERM and SIGINT; call it once, on the runtime's thread.
    ///
    /// The second signal ends the process from within its handler, with 128 and the signal's
    /// number as exit code, so that it works with a runtime that hangs.
    ///
    /// # Errors
    ///
    /// Fails when no socket pair or no handler can be had from the operating system.
    pub fn register() -> io::Result<Self> {
        let (arrived, handler) = StdUnixStream::pair()?;
        arrived.set_nonblocking(true)?;
        let stopping = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            let code = EXIT_CODE_BASE + signal;
            flag::register_conditional_shutdown(signal, code, Arc::clone(&stopping))?;
            flag::register(signal, Arc::clone(&stopping))?;
            pipe::register(signal, handler.try_clone()?)?;
        }
        Ok(Self {
            arrived: UnixStream::from_std(arrived)?,
        })
    }

    /// Waits for the first signal.
    ///
    /// # Errors
    ///
    /// Fails when the socket pair to the handlers breaks.
    pub async fn stop(&mut self) -> io::Result<()> {
        let (result, _) = self.arrived.read(vec![0; 1]).await;
        result.map(drop)
    }
}
