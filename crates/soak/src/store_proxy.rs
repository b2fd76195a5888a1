//! TCP proxy between one daemon and the store, which delays, drops or resets what passes through.

use std::{
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::Duration, //
};

/// Time limit of each wait for bytes and connections, and so the interval between checks of the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the copy buffer, in bytes.
const CHUNK_LEN: usize = 16 * 1024;
/// Connect timeout; the store runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What the proxy does to calls and answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreMode {
    /// Forwards everything.
    #[default]
    Open,
    /// Delays each chunk by this long.
    Delayed(Duration),
    /// Forwards calls and drops the answers.
    OneWay,
    /// Drops calls and answers; connections stay open.
    Silent,
    /// Closes all connections, including new ones.
    Reset,
}

/// A proxy for one daemon; dropping it ends its threads.
#[derive(Debug)]
pub(crate) struct StoreProxy {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    store: SocketAddr,
    mode: Mutex<StoreMode>,
    ended: AtomicBool,
}

impl Shared {
    fn mode(&self) -> MutexGuard<'_, StoreMode> {
        self.mode.lock().expect("no holder of the lock panics")
    }

    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

impl StoreProxy {
    /// Listens at `listen` for connections to `store`.
    pub(crate) fn start(listen: SocketAddr, store: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            store,
            mode: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&accepting, &listener));
        Ok(Self { shared })
    }

    /// Sets the mode for existing and new connections.
    pub(crate) fn set_mode(&self, mode: StoreMode) {
        *self.shared.mode() = mode;
    }
}

impl Drop for StoreProxy {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.is_ended() {
        match listener.accept() {
            Ok((client, _)) => {
                let shared = Arc::clone(shared);
                // An I/O error ends the connection, as a close by either side does.
                thread::spawn(move || drop(serve(&shared, client)));
            }
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn serve(shared: &Arc<Shared>, client: TcpStream) -> io::Result<()> {
    if *shared.mode() == StoreMode::Reset {
        return Ok(());
    }
    client.set_nonblocking(false)?;
    client.set_nodelay(true)?;
    let server = TcpStream::connect_timeout(&shared.store, CONNECT_TIMEOUT)?;
    server.set_nodelay(true)?;
    let answers = (Arc::clone(shared), server.try_clone()?, client.try_clone()?);
    thread::spawn(move || drop(copy_stream(&answers.0, answers.1, answers.2, true)));
    copy_stream(shared, client, server, false)
}

/// Copies bytes in one direction until either side closes the connection.
fn copy_stream(
    shared: &Shared,
    mut from: TcpStream,
    mut to: TcpStream,
    is_answer: bool,
) -> io::Result<()> {
    from.set_read_timeout(Some(POLL_INTERVAL))?;
    let mut buf = vec![0; CHUNK_LEN];
    while !shared.is_ended() && *shared.mode() != StoreMode::Reset {
        let len = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => len,
            Err(err)
                if matches!(
                    err.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(err) => return Err(err),
        };
        let mode = *shared.mode();
        match mode {
            StoreMode::Open => to.write_all(&buf[..len])?,
            StoreMode::Delayed(time) => {
                thread::sleep(time);
                to.write_all(&buf[..len])?;
            }
            StoreMode::OneWay if !is_answer => to.write_all(&buf[..len])?,
            StoreMode::OneWay | StoreMode::Silent => {}
            StoreMode::Reset => break,
        }
    }
    to.shutdown(Shutdown::Both)
}
