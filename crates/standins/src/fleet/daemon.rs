//! Daemon that runs in its own process.

use serde::de::DeserializeOwned;
use std::{
    fs::{
        self,
        File, //
    },
    io,
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        ExitStatus, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

/// Time within which a daemon's admin interface must answer.
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a process is checked for its exit.
const TICK: Duration = Duration::from_millis(10);

/// Length to which the kernel truncates the name of a program.
const NAME_LEN: usize = 15;

/// Program that daemons run, and its arguments.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable file.
    pub path: PathBuf,
    /// Arguments before `--settings FILE`.
    pub args: Vec<String>,
}

/// Signals that a fleet sends to daemons.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Signal {
    Terminate,
    Hangup,
    Stop,
    Continue,
}

impl Signal {
    fn number(self) -> libc::c_int {
        match self {
            Signal::Terminate => libc::SIGTERM,
            Signal::Hangup => libc::SIGHUP,
            Signal::Stop => libc::SIGSTOP,
            Signal::Continue => libc::SIGCONT,
        }
    }
}

/// Daemon of a fleet, and its process while that runs.
pub(crate) struct Daemon {
    pub(crate) vm: String,
    pub(crate) zone: String,
    pub(crate) admin: SocketAddr,
    pub(crate) settings: PathBuf,
    pub(crate) log: PathBuf,
    /// Name of the running program, truncated as by the kernel.
    program: String,
    child: Option<Child>,
    frozen: bool,
}

impl Daemon {
    pub(crate) fn new(vm: &str, zone: &str, admin: SocketAddr, dir: &std::path::Path) -> Self {
        Daemon {
            vm: vm.into(),
            zone: zone.into(),
            admin,
            settings: dir.join(format!("{vm}.json")),
            log: dir.join(format!("{vm}.log")),
            program: String::new(),
            child: None,
            frozen: false,
        }
    }

    /// Starts the process, which appends its output to the log file.
    pub(crate) fn start(&mut self, program: &Program) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&program.path)
            .args(&program.args)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(std::process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let name = program.path.file_name().unwrap_or_default();
        self.program = name.to_string_lossy().chars().take(NAME_LEN).collect();
        self.child = Some(child);
        self.frozen = false;
        Ok(())
    }

    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the peak memory of the process, in kilobytes, once it runs its program: before that, the kernel reports
    /// the memory of the process that started it.
    pub(crate) fn peak_memory_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let field = |name| status.lines().find_map(|line| line.strip_prefix(name));
        if field("Name:")?.trim() != self.program {
            return None;
        }
        let memory = field("VmHWM:")?;
        memory.split_whitespace().next()?.parse().ok()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let Some(pid) = self.pid() else {
            return;
        };
        // SAFETY: the process is a child that was not waited for, so its id is not in use by another process.
        unsafe { libc::kill(pid as libc::pid_t, signal.number()) };
    }

    /// Pauses the process.
    pub(crate) fn freeze(&mut self) {
        self.signal(Signal::Stop);
        self.frozen = true;
    }

    /// Resumes a paused process.
    pub(crate) fn wake(&mut self) {
        self.signal(Signal::Continue);
        self.frozen = false;
    }

    pub(crate) fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// Returns the exit status when the process has exited, once.
    pub(crate) fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits up to `within` until the process has exited.
    pub(crate) fn wait(&mut self, within: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            if let Some(status) = self.try_wait() {
                return Some(status);
            }
            std::thread::sleep(TICK);
        }
        None
    }

    /// Kills the process and waits for its exit.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only when the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Reads a page of the admin interface.
    pub(crate) fn read(&self, path: &str) -> anyhow::Result<String> {
        let url = format!("http://{}{path}", self.admin);
        let answer = ureq::get(&url).timeout(HTTP_TIMEOUT).call()?;
        Ok(answer.into_string()?)
    }

    pub(crate) fn read_json<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        Ok(serde_json::from_str(&self.read(path)?)?)
    }

    /// Makes the daemon drop all traffic to and from these peers.
    pub(crate) fn deny(&self, peers: &[&str]) -> anyhow::Result<()> {
        let url = format!("http://{}/faults", self.admin);
        let body = serde_json::json!({ "deny": peers });
        ureq::put(&url).timeout(HTTP_TIMEOUT).send_json(body)?;
        Ok(())
    }

    /// Returns the last lines of the log.
    pub(crate) fn log_tail(&self, lines: usize) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
