//! Block of loopback addresses that a fleet uses.

use std::{
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        TcpListener, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    }, //
};

/// Port that a fleet listens on at host `CLAIM_HOST`, which marks the block as taken.
const CLAIM_PORT: u16 = 7999;
/// Port for datagrams between daemons.
const RELAY_PORT: u16 = 7000;
/// Port for links between daemons.
const CONTROL_PORT: u16 = 7001;
/// Port of a daemon's admin interface.
const ADMIN_PORT: u16 = 7002;
/// Port of the first service; further services have the next ports.
const SERVICE_PORT: u16 = 5601;
/// Port of upstreams.
const UPSTREAM_PORT: u16 = 5683;
/// Port of the platform.
const PLATFORM_PORT: u16 = 8080;
/// Host number of the first upstream; further ones have the next numbers.
const FIRST_UPSTREAM_HOST: u8 = 100;
/// Host number of the services.
const SERVICES_HOST: u8 = 200;
/// Host number of the callers of the first zone; further zones have the next numbers.
const FIRST_CALLERS_HOST: u8 = 210;
/// Number of callers from that host number on.
const CALLERS_HOSTS: usize = 10;
/// Host number of the first callers after those. Upstreams may have the same hosts, with another port.
const FURTHER_CALLERS_HOST: u8 = 150;
/// Host number of the store's address for the first daemon; further daemons have the next numbers.
const FIRST_STORE_HOST: u8 = 220;
/// Host number of the platform.
const PLATFORM_HOST: u8 = 250;
/// Host number of the address that marks the block as taken.
const CLAIM_HOST: u8 = 254;
/// Number of blocks: 127.1.0.* to 127.254.255.*.
const BLOCK_COUNT: u32 = 254 * 256;

static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// A block 127.X.Y.* that no other fleet on this machine uses.
pub(crate) struct Block {
    second: u8,
    third: u8,
    _claim: TcpListener,
}

impl Block {
    /// Claims a free block. The search starts at a block that depends on the process id.
    pub(crate) fn claim() -> io::Result<Self> {
        let first = std::process::id().wrapping_mul(31);
        for _ in 0..BLOCK_COUNT {
            let number =
                first.wrapping_add(NEXT_BLOCK.fetch_add(1, Ordering::Relaxed)) % BLOCK_COUNT;
            let (second, third) = ((number / 256) as u8 + 1, (number % 256) as u8);
            let host = Ipv4Addr::new(127, second, third, CLAIM_HOST);
            if let Ok(claim) = TcpListener::bind((host, CLAIM_PORT)) {
                return Ok(Block {
                    second,
                    third,
                    _claim: claim,
                });
            }
        }
        Err(io::Error::other("no block of loopback addresses is free"))
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    /// Returns the IP address of a daemon, counted from zero.
    pub(crate) fn daemon(&self, index: usize) -> IpAddr {
        self.ip(index as u8 + 1)
    }

    pub(crate) fn relay(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(index), RELAY_PORT)
    }

    pub(crate) fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(index), CONTROL_PORT)
    }

    pub(crate) fn admin(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(index), ADMIN_PORT)
    }

    /// Returns the address of an upstream, counted from zero over all services.
    pub(crate) fn upstream(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(FIRST_UPSTREAM_HOST + index as u8), UPSTREAM_PORT)
    }

    /// Returns the address of a service, counted from zero.
    pub(crate) fn service(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(SERVICES_HOST), SERVICE_PORT + index as u16)
    }

    /// Returns the address at which a daemon receives the packets of a service.
    pub(crate) fn ingress(&self, daemon: usize, service: usize) -> SocketAddr {
        SocketAddr::new(self.daemon(daemon), SERVICE_PORT + service as u16)
    }

    /// Returns the IP address that the callers of an availability zone send from.
    pub(crate) fn callers(&self, zone: usize) -> IpAddr {
        self.ip(FIRST_CALLERS_HOST + zone as u8)
    }

    /// Returns the address at which a daemon receives packets; callers receive theirs at the same port.
    pub(crate) fn packets(&self, daemon: usize) -> SocketAddrV4 {
        socket_addr_v4(self.daemon(daemon), SERVICE_PORT)
    }

    /// Returns an address at which callers receive packets; the first ones are those of the zones.
    pub(crate) fn packet_callers(&self, index: usize) -> SocketAddrV4 {
        let ip = match index.checked_sub(CALLERS_HOSTS) {
            Some(further) => self.ip(FURTHER_CALLERS_HOST + further as u8),
            None => self.callers(index),
        };
        socket_addr_v4(ip, SERVICE_PORT)
    }

    /// Returns the address of an upstream of the packet interface, counted from zero over all services.
    pub(crate) fn packet_upstream(&self, index: usize) -> SocketAddrV4 {
        socket_addr_v4(self.ip(FIRST_UPSTREAM_HOST + index as u8), UPSTREAM_PORT)
    }

    /// Returns the address at which a daemon reaches the key-value store.
    pub(crate) fn store(&self, daemon: usize) -> SocketAddr {
        let hosts = usize::from(PLATFORM_HOST - FIRST_STORE_HOST);
        let ip = self.ip(FIRST_STORE_HOST + (daemon % hosts) as u8);
        SocketAddr::new(ip, PLATFORM_PORT + (daemon / hosts) as u16)
    }

    pub(crate) fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.ip(PLATFORM_HOST), PLATFORM_PORT)
    }
}

fn socket_addr_v4(ip: IpAddr, port: u16) -> SocketAddrV4 {
    match ip {
        IpAddr::V4(ip) => SocketAddrV4::new(ip, port),
        IpAddr::V6(_) => unreachable!("blocks are IPv4"),
    }
}
