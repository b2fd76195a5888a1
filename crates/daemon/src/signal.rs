//! Process signals: the first SIGTERM or SIGINT asks for a graceful stop, the second ends the
//! process at once; SIGHUP says that the settings have changed.

use monoio::{
    io::AsyncReadRent,
    net::UnixStream, //
};
use signal_hook::{
    consts::{
        SIGHUP,
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

/// SIGHUP, which asks the process to read its settings again.
#[derive(Debug)]
pub struct Hangup {
    arrived: UnixStream,
}

impl Hangup {
    /// Takes over SIGHUP; call it once, on the runtime's thread.
    ///
    /// # Errors
    ///
    /// Fails when no socket pair or no handler can be had from the operating system.
    pub fn register() -> io::Result<Self> {
        let (arrived, handler) = pair()?;
        pipe::register(SIGHUP, handler)?;
        Ok(Self { arrived })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    ///
    /// Fails when the socket pair to the handler breaks.
    pub async fn wait(&mut self) -> io::Result<()> {
        let (result, _) = self.arrived.read(vec![0; 1]).await;
        result.map(drop)
    }
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
        let (arrived, handler) = pair()?;
        let stopping = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            let code = EXIT_CODE_BASE + signal;
            flag::register_conditional_shutdown(signal, code, Arc::clone(&stopping))?;
            flag::register(signal, Arc::clone(&stopping))?;
            pipe::register(signal, handler.try_clone()?)?;
        }
        Ok(Self { arrived })
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

/// A stream for the runtime and its other end for handlers.
fn pair() -> io::Result<(UnixStream, StdUnixStream)> {
    let (arrived, handler) = StdUnixStream::pair()?;
    arrived.set_nonblocking(true)?;
    Ok((UnixStream::from_std(arrived)?, handler))
}
