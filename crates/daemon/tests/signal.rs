//! Signals of the operating system, each test with a child process.

use foxtailhinge::signal::Signals;
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use rstest::rstest;
use std::{
    env,
    io::{
        BufRead,
        BufReader, //
    },
    process::{
        Child,
        ChildStdout,
        Command,
        Stdio, //
    },
    thread,
    time::Duration,
};

const ROLE: &str = "FOXTAILHINGE_TEST_ROLE";

/// Runs as the process under test if started by the tests below; does nothing otherwise.
#[test]
fn process_under_test() {
    let Ok(role) = env::var(ROLE) else {
        return;
    };
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().unwrap().block_on(async {
        let mut signals = Signals::register().unwrap();
        println!("\nready");
        signals.stop().await.unwrap();
        println!("\nstopping");
        match role.as_str() {
            "ends" => (),
            "hangs" => thread::sleep(Duration::from_secs(600)),
            _ => monoio::time::sleep(Duration::from_secs(600)).await,
        }
    });
}

struct Process {
    child: Child,
    lines: std::io::Lines<BufReader<ChildStdout>>,
}

impl Process {
    fn start(role: &str) -> Self {
        let mut child = Command::new(env::current_exe().unwrap())
            .args(["--exact", "process_under_test", "--nocapture"])
            .env(ROLE, role)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut process = Self { child, lines };
        process.wait_for("ready");
        process
    }

    fn wait_for(&mut self, line: &str) {
        self.lines
            .find(|l| l.as_ref().is_ok_and(|l| l == line))
            .unwrap()
            .unwrap();
    }

    fn send(&self, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.child.id()).unwrap();
        // SAFETY: The process is a child that was not waited for, so its id cannot have been reused.
        assert_eq!(unsafe { libc::kill(pid, signal) }, 0);
    }

    fn exit_code(mut self) -> Option<i32> {
        self.lines.by_ref().for_each(drop);
        self.child.wait().unwrap().code()
    }
}

#[rstest]
#[case::term(libc::SIGTERM)]
#[case::int(libc::SIGINT)]
fn the_first_signal_requests_a_stop(#[case] signal: libc::c_int) {
    let mut process = Process::start("ends");
    process.send(signal);
    process.wait_for("stopping");
    assert_eq!(process.exit_code(), Some(0));
}

#[rstest]
#[case::term_twice("waits", libc::SIGTERM, libc::SIGTERM)]
#[case::term_then_int("waits", libc::SIGTERM, libc::SIGINT)]
#[case::int_then_term("waits", libc::SIGINT, libc::SIGTERM)]
#[case::runtime_hangs("hangs", libc::SIGTERM, libc::SIGTERM)]
fn the_second_signal_ends_at_once(
    #[case] role: &str,
    #[case] first: libc::c_int,
    #[case] second: libc::c_int,
) {
    let mut process = Process::start(role);
    process.send(first);
    process.wait_for("stopping");
    process.send(second);
    assert_eq!(process.exit_code(), Some(128 + second));
}
