//! Control planes of several daemons on one thread, with a stand-in of the platform.

use foxtailhinge::links::LinkHandler;
use foxtailhinge::members::{
    Control,
    ControlEvent,
    ControlLimits,
    ControlSettings,
    Prober,
    RelaySender, //
};
use foxtailhinge_policy::{
    members::{
        ChangeKind,
        ListedVm,
        MemberState,
        MembersSpec, //
    },
    pause::PauseSpec,
};
use foxtailhinge_standins::platform::{
    Platform,
    Vm,
    VmState, //
};
use foxtailhinge_wire::{
    envelope::PeerKeys,
    message::{
        OwnerReply,
        OwnerRequest,
        RelayMessage, //
    },
    ticket::name_hash,
};
use monoio::{
    net::udp::UdpSocket,
    LegacyDriver,
    RuntimeBuilder, //
};
use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future::Future,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Time after which a test fails if an expected state is not reached.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Host and port whose bound socket marks a block as taken, the same as in the stand-ins' fleets.
const CLAIM: (u8, u16) = (254, 7999);

/// Number of blocks: 127.1.0.* to 127.254.255.*.
const BLOCKS: u32 = 254 * 256;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A block of loopback addresses that no other fleet uses.
struct Block {
    x: u8,
    y: u8,
}

impl Block {
    fn claim() -> Self {
        let first = std::process::id().wrapping_mul(37);
        loop {
            let n = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % BLOCKS;
            let (x, y) = ((n / 256) as u8 + 1, (n % 256) as u8);
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, x, y, CLAIM.0), CLAIM.1)) {
                // Kept open until the process ends, as are the sockets of its daemons.
                std::mem::forget(claim);
                return Self { x, y };
            }
        }
    }

    fn addr(&self, host: usize, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.x, self.y, host as u8), port).into()
    }
}

/// Handler of a daemon that holds no upstream.
struct NoHandler;

impl LinkHandler for NoHandler {
    fn on_owner_request(&self, _: &Rc<str>, _: u32, _: OwnerRequest) -> OwnerReply {
        OwnerReply::NotHeld
    }
}

struct UdpSender {
    control: Rc<Control>,
    socket: std::net::UdpSocket,
}

impl RelaySender for UdpSender {
    fn send(&self, to: u32, addr: SocketAddr, message: &RelayMessage) {
        let settings = self.control.settings();
        let me = name_hash(&settings.vm);
        let sealed = settings.keys.seal(me, settings.incarnation, to, message);
        let _ = self.socket.send_to(&sealed, addr);
    }
}

/// Control plane of one daemon.
pub(crate) struct Node {
    pub(crate) control: Rc<Control>,
    pub(crate) events: Rc<RefCell<Vec<ControlEvent>>>,
    end: Option<local_sync::oneshot::Sender<()>>,
    ended: Rc<Cell<bool>>,
}

impl Node {
    /// Returns the text of a service's document in force.
    pub(crate) fn text(&self, service: &str) -> Option<String> {
        let documents = self.control.documents();
        documents.get(service).map(|d| d.text.to_string())
    }

    /// Returns the revision of a service's document in force, or of its removal.
    pub(crate) fn revision(&self, service: &str) -> u64 {
        let documents = self.control.documents();
        documents.entry(service).map_or(0, |e| e.revision)
    }

    /// Returns the state of `vm` in this daemon's view.
    pub(crate) fn state_of(&self, vm: &str) -> Option<MemberState> {
        self.control.members().get(vm).map(|m| m.state)
    }

    /// Returns the number of live members of all zones.
    pub(crate) fn live(&self) -> usize {
        self.control
            .members()
            .iter()
            .filter(|m| m.is_live())
            .count()
    }

    /// Returns the revisions of a service's document that came into force, in order.
    pub(crate) fn applied(&self, wanted: &str) -> Vec<u64> {
        let events = self.events.borrow();
        let applied = events.iter().filter_map(|event| match event {
            ControlEvent::Document {
                service, revision, ..
            } if service.as_ref() == wanted => Some(*revision),
            _ => None,
        });
        applied.collect()
    }

    /// Returns the kinds of the changes to `vm`, in order.
    pub(crate) fn changes_of(&self, vm: &str) -> Vec<ChangeKind> {
        let events = self.events.borrow();
        let kinds = events.iter().filter_map(|event| match event {
            ControlEvent::Member(change) if change.member.vm.as_ref() == vm => Some(change.kind),
            _ => None,
        });
        kinds.collect()
    }

    /// Ends the daemon without a graceful shutdown.
    pub(crate) async fn kill(&mut self) {
        self.end = None;
        self.control.set_deny(all_names());
        until("the daemon has ended", || self.ended.get()).await;
    }
}

/// Settings of one daemon of a test.
#[derive(Clone)]
pub(crate) struct Start {
    pub(crate) index: usize,
    pub(crate) incarnation: u32,
    pub(crate) fleet: &'static str,
    /// Daemons named as peers in the settings.
    pub(crate) peers: Vec<usize>,
    pub(crate) limits: ControlLimits,
    pub(crate) pause: PauseSpec,
    pub(crate) members: MembersSpec,
}

impl Start {
    pub(crate) fn new(index: usize, peers: impl IntoIterator<Item = usize>) -> Self {
        Self {
            index,
            incarnation: 1_000 + index as u32,
            fleet: "test",
            peers: peers.into_iter().collect(),
            limits: limits(),
            pause: PauseSpec {
                pause: TIMEOUT,
                ..PauseSpec::default()
            },
            members: MembersSpec {
                suspicion: Duration::from_millis(600),
                ..MembersSpec::default()
            },
        }
    }
}

/// Limits with short intervals and timeouts, so that tests are fast.
pub(crate) fn limits() -> ControlLimits {
    ControlLimits {
        probe_interval: Duration::from_millis(300),
        probe_timeout: Duration::from_millis(150),
        exchange_interval: Duration::from_millis(200),
        retry_interval: Duration::from_millis(50),
        watch_timeout: Duration::from_millis(500),
        platform_timeout: Duration::from_millis(1_000),
        platform_backoff: Duration::from_millis(300),
        platform_stale_after: Duration::from_secs(5),
        ..ControlLimits::default()
    }
}

/// Maximum number of daemons in a test.
const NODES_MAX: usize = 99;

fn all_names() -> Vec<Rc<str>> {
    let mut names: Vec<Rc<str>> = (0..NODES_MAX).map(vm).collect();
    names.push("platform".into());
    names
}

/// Returns the VM id of a daemon.
pub(crate) fn vm(index: usize) -> Rc<str> {
    format!("vm-{index}").into()
}

/// Addresses and zones of the daemons, and their platform.
pub(crate) struct Fleet {
    block: Block,
    zones: Vec<&'static str>,
    pub(crate) platform: Platform,
}

impl Fleet {
    /// Claims addresses for one daemon per entry of `zones` and starts a platform.
    pub(crate) fn new(zones: &[&'static str]) -> Self {
        let block = Block::claim();
        let platform = Platform::start(block.addr(250, 8080)).unwrap();
        Self {
            block,
            zones: zones.to_vec(),
            platform,
        }
    }

    /// Returns the address of daemon `index`, or a free address of the fleet's block if there is no such daemon.
    pub(crate) fn addr(&self, index: usize, port: u16) -> SocketAddr {
        self.block.addr(index + 1, port)
    }

    /// Starts all daemons, each with all others as peers.
    pub(crate) fn start_all(&self) -> Vec<Node> {
        let all = 0..self.zones.len();
        all.clone()
            .map(|i| self.start(&Start::new(i, all.clone().filter(|p| *p != i))))
            .collect()
    }

    /// Starts one daemon.
    pub(crate) fn start(&self, start: &Start) -> Node {
        let control = Control::new(self.settings(start));
        let events: Rc<RefCell<Vec<ControlEvent>>> = Rc::default();
        let sink = events.clone();
        control.subscribe(move |event| sink.borrow_mut().push(event.clone()));
        let (tx, rx) = local_sync::oneshot::channel::<()>();
        let ended: Rc<Cell<bool>> = Rc::default();
        let daemon = run(control.clone(), async move {
            let _ = rx.await;
        });
        let flag = ended.clone();
        monoio::spawn(async move {
            daemon.await;
            flag.set(true);
        });
        Node {
            control,
            events,
            end: Some(tx),
            ended,
        }
    }

    /// Puts all daemons on the platform's list.
    pub(crate) fn list_all(&self) {
        let vms = (0..self.zones.len()).map(|i| Vm {
            id: vm(i).to_string(),
            zone: self.zones[i].to_owned(),
            state: VmState::Live,
            relay: self.block.addr(i + 1, 7000),
            control: self.block.addr(i + 1, 7001),
        });
        self.platform.set_vms(vms.collect());
    }

    /// Replaces the platform by a new one at the same address.
    pub(crate) fn replace_platform(&mut self) {
        self.platform.stop();
        let addr = self.platform.addr();
        let end = Instant::now() + TIMEOUT;
        self.platform = loop {
            match Platform::start(addr) {
                Ok(platform) => break platform,
                Err(err) => assert!(Instant::now() < end, "{err}"),
            }
        };
    }

    pub(crate) fn settings(&self, start: &Start) -> ControlSettings {
        let peer = |i: usize| ListedVm {
            vm: vm(i),
            zone: self.zones[i].into(),
            relay: self.block.addr(i + 1, 7000),
            control: self.block.addr(i + 1, 7001),
            leaving: false,
        };
        let me = peer(start.index);
        ControlSettings {
            vm: me.vm,
            zone: me.zone,
            relay: me.relay,
            control: me.control,
            platform: Some(self.platform.addr()),
            peers: start.peers.iter().map(|&i| peer(i)).collect(),
            keys: PeerKeys::new(start.fleet, vec![(0, [7; 32])]),
            incarnation: start.incarnation,
            seed: start.index as u64,
            members: MembersSpec {
                name_hash,
                ..start.members
            },
            pause: start.pause,
            limits: start.limits,
        }
    }
}

async fn run(control: Rc<Control>, end: impl Future<Output = ()>) {
    let socket =
        std::net::UdpSocket::bind(control.settings().relay).expect("The relay address is free.");
    socket.set_nonblocking(true).unwrap();
    let sender = UdpSender {
        control: control.clone(),
        socket: socket.try_clone().unwrap(),
    };
    let prober = Prober::new(control.clone(), sender);
    let socket = UdpSocket::from_std(socket).unwrap();
    monoio::select! {
        result = control.clone().run(prober.clone(), Rc::new(NoHandler)) => {
            result.expect("The control address is free.");
        }
        () = receive(&control, &prober, &socket) => {}
        () = end => {}
    }
}

async fn receive(control: &Control, prober: &Prober<UdpSender>, socket: &UdpSocket) {
    let settings = control.settings();
    let me = name_hash(&settings.vm);
    let mut buf = vec![0; 65_536];
    loop {
        let (result, filled) = socket.recv_from(buf).await;
        buf = filled;
        let Ok((len, addr)) = result else {
            continue;
        };
        if let Ok(opened) = settings.keys.open::<RelayMessage>(me, &buf[..len]) {
            prober.on_message(opened.from, addr, opened.message);
        }
    }
}

/// Runs a test on a new runtime.
pub(crate) fn block_on<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    let result = runtime.block_on(test);
    // Links in use must not be dropped with their runtime: h2 wakes their tasks, which monoio does not
    // support outside of a runtime.
    std::mem::forget(runtime);
    result
}

/// Waits until `holds` returns true; `what` describes the expected state.
pub(crate) async fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < end,
            "Timed out before this was true: {what}."
        );
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until `holds` returns true for each of `nodes`.
pub(crate) async fn until_all(nodes: &[Node], what: &str, holds: impl Fn(&Node) -> bool) {
    until(what, || nodes.iter().all(&holds)).await;
}

/// Returns a valid document of a service; calls with different deadlines differ in nothing else.
pub(crate) fn document(service: &str, deadline_ms: u64) -> String {
    format!(
        r#"{{ "service": "{service}", "address": "127.0.0.200:5601",
  "zones": {{ "a": "in", "b": "in" }},
  "upstreams": [ {{ "name": "{service}-1", "address": "10.0.0.1:5683", "zone": "a", "slots": 4, "connections": 2000 }} ],
  "defaults": {{ "deadline_ms": {deadline_ms} }} }}"#
    )
}
