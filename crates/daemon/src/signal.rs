//! Process signals: the first SIGTERM or SIGINT requests a graceful shutdown, the second ends the
//! process at once; SIGHUP requests a reload of the settings.

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

/// Base of the exit code of a process that a signal ends; the signal's number is added.
const EXIT_CODE_BASE: i32 = 128;

/// SIGTERM and SIGINT, which request a stop of the process.
#[derive(Debug)]
pub struct Signals {
    rx: UnixStream,
}

/// SIGHUP, which requests a reload of the settings.
#[derive(Debug)]
pub struct Hangup {
    rx: UnixStream,
}

impl Hangup {
    /// Installs the handler of SIGHUP; call it once, on the runtime's thread.
    ///
    /// # Errors
    ///
    /// Fails when the socket pair or the handler cannot be created.
    pub fn register() -> io::Result<Self> {
        let (rx, tx) = pair()?;
        pipe::register(SIGHUP, tx)?;
        Ok(Self { rx })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    ///
    /// Fails when the socket pair to the handler breaks.
    pub async fn wait(&mut self) -> io::Result<()> {
        let (result, _) = self.rx.read(vec![0; 1]).await;
        result.map(drop)
    }
}

impl Signals {
    /// Installs the handlers of SIGTERM and SIGINT; call it once, on the runtime's thread.
    ///
    /// The second signal ends the process from within the signal handler, so that it works even if the
    /// runtime hangs. The exit code is 128 plus the signal's number.
    ///
    /// # Errors
    ///
    /// Fails when the socket pair or the handler cannot be created.
    pub fn register() -> io::Result<Self> {
        let (rx, tx) = pair()?;
        let stopping = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            let code = EXIT_CODE_BASE + signal;
            flag::register_conditional_shutdown(signal, code, Arc::clone(&stopping))?;
            flag::register(signal, Arc::clone(&stopping))?;
            pipe::register(signal, tx.try_clone()?)?;
        }
        Ok(Self { rx })
    }

    /// Waits for the first signal.
    ///
    /// # Errors
    ///
    /// Fails when the socket pair to the handlers breaks.
    pub async fn stop(&mut self) -> io::Result<()> {
        let (result, _) = self.rx.read(vec![0; 1]).await;
        result.map(drop)
    }
}

/// Creates a socket pair: a stream for the runtime and the other end for signal handlers.
fn pair() -> io::Result<(UnixStream, StdUnixStream)> {
    let (rx, tx) = StdUnixStream::pair()?;
    rx.set_nonblocking(true)?;
    Ok((UnixStream::from_std(rx)?, tx))
}
