//! Repeated claims of an upstream, as after the loss of the answer to the next owner.

use crate::fleet::{
    block_on,
    until,
    vm,
    Fleet,
    Node,
    Start, //
};
use foxtailhinge::links::{
    LinkReply,
    LinkRequest, //
};
use foxtailhinge_policy::rendezvous::score;
use foxtailhinge_wire::message::{
    OwnerReply,
    OwnerRequest, //
};
use std::{
    fs,
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    rc::Rc,
    sync::mpsc,
    thread,
    time::Duration, //
};

/// Timeout for a daemon without peers to own its upstreams.
const OWNED_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay between two claims while the owner does not know vm-1 yet.
const CLAIM_INTERVAL: Duration = Duration::from_millis(20);

/// Number of claims after which the owner must know vm-1.
const CLAIMS_MAX: usize = 200;

/// A daemon process that owns the upstream that vm-1 claims.
struct Owner {
    child: Child,
    settings: PathBuf,
}

impl Owner {
    fn start(fleet: &Fleet) -> Self {
        let (ip, platform) = (fleet.addr(0, 0).ip(), fleet.platform.addr());
        let text = format!(
            r#"{{ "vm": "vm-0", "zone": "a", "listen": "{ip}", "relay": "{ip}:7000",
                "control": "{ip}:7001", "admin": "{ip}:7002", "platform": "{platform}",
                "fleet": "test", "keys": [ {{ "slot": 0, "secret": "{}" }} ] }}"#,
            "07".repeat(32)
        );
        let name = format!("foxtailhinge-claims-{}.json", std::process::id());
        let settings = std::env::temp_dir().join(name);
        fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_foxtailhinge"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        Self { child, settings }
    }

    /// Waits until the daemon owns an upstream.
    fn wait_until_owner(&mut self) {
        let stdout = self.child.stdout.take().expect("its output is a pipe");
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
            if lines.any(|line| line.contains("event=owner-moved")) {
                let _ = tx.send(());
            }
            lines.for_each(drop);
        });
        rx.recv_timeout(OWNED_TIMEOUT)
            .expect("vm-0 owns the upstream before vm-1 starts");
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns an address that belongs to vm-1 as soon as vm-1 is known.
fn address_owned_by_vm_1(fleet: &Fleet) -> SocketAddr {
    let (first, second) = (vm(0), vm(1));
    let hosts = (100..200).map(|host| fleet.addr(host, 5683));
    let mut owned = hosts.filter(|addr| {
        let key: Rc<str> = addr.to_string().into();
        score(&key, &second) > score(&key, &first)
    });
    owned
        .next()
        .expect("one of a hundred addresses goes to vm-1")
}

fn document(fleet: &Fleet, upstream: SocketAddr) -> String {
    let address = fleet.addr(240, 5601);
    format!(
        r#"{{ "service": "doors", "address": "{address}", "zones": {{ "a": "in" }},
  "upstreams": [ {{ "name": "doors-1", "address": "{upstream}", "zone": "a", "slots": 4, "connections": 2000 }} ],
  "cold_start": {{ "slots": 1, "connections": 100, "ramp_s": 60 }},
  "defaults": {{ "deadline_ms": 2000, "idle_s": 120 }},
  "routes": [] }}"#
    )
}

async fn claim(node: &Node, upstream: SocketAddr, id: u64) -> Option<OwnerReply> {
    let member = node.control.members().get("vm-0").cloned()?;
    let request = LinkRequest::Owner(OwnerRequest::Claim { upstream, id });
    let links = Rc::clone(node.control.links());
    match links.request(&node.control, &member, &request).await {
        Ok(LinkReply::Owner(reply)) => Some(reply),
        _ => None,
    }
}

#[test]
fn a_claim_that_is_repeated_gets_the_same_state() {
    block_on(async {
        let fleet = Fleet::new(&["a", "a"]);
        let upstream = address_owned_by_vm_1(&fleet);
        fleet.platform.publish("doors", &document(&fleet, upstream));
        let mut owner = Owner::start(&fleet);
        owner.wait_until_owner();
        let node = fleet.start(&Start::new(1, [0]));
        until("vm-0 is live", || node.live() == 2).await;
        let mut first = None;
        for _ in 0..CLAIMS_MAX {
            first = claim(&node, upstream, 1).await;
            if first != Some(OwnerReply::NotYours) {
                break;
            }
            monoio::time::sleep(CLAIM_INTERVAL).await;
        }
        assert!(matches!(first, Some(OwnerReply::HandOver(_))), "{first:?}");
        let again = claim(&node, upstream, 1).await;
        assert_eq!(again, first, "the first answer may not have arrived");
        let other = claim(&node, upstream, 2).await;
        assert_eq!(
            other,
            Some(OwnerReply::NotHeld),
            "another claim is too late"
        );
    });
}
