//! A proxy between one daemon and the store: connections through it are delayed, reset, cut one way or silenced.

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

/// Longest wait for bytes and connections, and time between looks at the mode.
const TICK: Duration = Duration::from_millis(5);
/// Bytes that are moved at a time.
const CHUNK: usize = 16 * 1024;
/// Time to connect to the store, which is on this machine.
const CONNECT: Duration = Duration::from_millis(500);

/// What a proxy does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreMode {
    /// It passes all on.
    #[default]
    Open,
    /// It holds each piece back for this long.
    Delayed(Duration),
    /// It passes calls on and loses the answers.
    OneWay,
    /// It loses calls and answers; connections stay open.
    Silent,
    /// It ends all connections, also those that begin.
    Reset,
}

/// A proxy that listens for one daemon.
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

    /// Treats what passes so from now on.
    pub(crate) fn set(&self, mode: StoreMode) {
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
                // A connection that fails ends like one whose peer has gone.
                thread::spawn(move || drop(serve(&shared, client)));
            }
            Err(_) => thread::sleep(TICK),
        }
    }
}

fn serve(shared: &Arc<Shared>, client: TcpStream) -> io::Result<()> {
    if *shared.mode() == StoreMode::Reset {
        return Ok(());
    }
    client.set_nonblocking(false)?;
    client.set_nodelay(true)?;
    let server = TcpStream::connect_timeout(&shared.store, CONNECT)?;
    server.set_nodelay(true)?;
    let answers = (Arc::clone(shared), server.try_clone()?, client.try_clone()?);
    thread::spawn(move || drop(pump(&answers.0, answers.1, answers.2, true)));
    pump(shared, client, server, false)
}

/// Moves bytes from one end to the other until either is gone.
fn pump(shared: &Shared, mut from: TcpStream, mut to: TcpStream, answers: bool) -> io::Result<()> {
    from.set_read_timeout(Some(TICK))?;
    let mut buf = vec![0; CHUNK];
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
            StoreMode::OneWay if !answers => to.write_all(&buf[..len])?,
            StoreMode::OneWay | StoreMode::Silent => {}
            StoreMode::Reset => break,
        }
    }
    to.shutdown(Shutdown::Both)
}
