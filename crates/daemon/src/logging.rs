//! Structured logs: one line of key=value pairs per event.

use flexi_logger::{
    writers::LogWriter,
    DeferredNow,
    FlexiLoggerError,
    LogSpecification,
    Logger,
    LoggerHandle, //
};
use foxtailhinge_config::settings::LogLevel;
use log::{
    Level,
    LevelFilter,
    Record, //
};
use rustix::event::{
    poll,
    PollFd,
    PollFlags,
    Timespec, //
};
use std::{
    cell::RefCell,
    collections::HashMap,
    fmt::{
        Display,
        Write as _, //
    },
    io::{
        self,
        Write as _, //
    },
    panic,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Log target of the records written by [`Event`].
const TARGET: &str = "event";

/// Log targets of this program's own records, which the level in the settings applies to.
const OWN_TARGETS: [&str; 4] = [TARGET, "admin", "audit", "foxtailhinge"];

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// Maximum number of lines of one event per [`RATE_WINDOW`]; further lines are dropped and counted.
pub const RATE_LINES: u32 = 20;

/// Length of a window of the rate limit.
pub const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum length of a line in bytes. A pipe takes this much in one write, so that a write never blocks in the middle
/// of a line.
const LINE_MAX: usize = 4_096;

/// Lines dropped because standard output could not be written without blocking.
static LINES_LOST: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped because nobody read standard output.
pub fn lines_lost() -> u64 {
    LINES_LOST.load(Ordering::Relaxed)
}

/// Writer to standard output that drops a line instead of blocking.
struct Output;

impl LogWriter for Output {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        line.truncate(LINE_MAX - 1);
        line.push(b'\n');
        let out = io::stdout();
        let mut ready = [PollFd::new(&out, PollFlags::OUT)];
        match poll(&mut ready, Some(&Timespec::default())) {
            Ok(1..) => out.lock().write_all(&line),
            _ => {
                LINES_LOST.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
        }
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Converts a level of the settings to the type of the `log` crate.
pub fn level(level: LogLevel) -> LevelFilter {
    level.as_str().parse().unwrap_or(LevelFilter::Info)
}

/// Returns the filter that applies `level` to the program's own records and at most warnings to those of libraries.
pub fn spec(level: LevelFilter) -> LogSpecification {
    let mut spec = LogSpecification::builder();
    spec.default(level.min(LevelFilter::Warn));
    for target in OWN_TARGETS {
        spec.module(target, level);
    }
    spec.build()
}

/// Starts logging to standard output; keep the handle as long as the process runs.
///
/// Records of the program are written at `level` or above, those of libraries at warning or above.
/// A panic, or a message that is not key=value pairs, becomes one event line as well.
///
/// # Errors
///
/// Fails when a logger is already installed.
pub fn start(level: LevelFilter) -> Result<LoggerHandle, FlexiLoggerError> {
    DeferredNow::force_utc();
    let handle = Logger::with(spec(level))
        .log_to_writer(Box::new(Output))
        .start()?;
    panic::set_hook(Box::new(|info| {
        let mut event = Event::new("panic").field("message", panic_message(info.payload()));
        if let Some(location) = info.location() {
            event = event.field("location", location);
        }
        event.error();
    }));
    Ok(handle)
}

/// Returns the message of a panic's payload.
pub fn panic_message(payload: &(dyn std::any::Any + Send)) -> &str {
    if let Some(text) = payload.downcast_ref::<&str>() {
        return text;
    }
    if let Some(text) = payload.downcast_ref::<String>() {
        return text;
    }
    "unknown"
}

fn write_line(
    w: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), io::Error> {
    let level = record.level().as_str().to_ascii_lowercase();
    write!(w, "time={} level={level} ", now.format(TIME_FORMAT))?;
    let message = record.args().to_string();
    if message.starts_with("event=") && !message.contains(char::is_control) {
        return w.write_all(message.as_bytes());
    }
    let event = Event::new("message")
        .field("target", record.target())
        .field("message", message);
    write!(w, "{}", event.line)
}

/// Builder of one log line: an event name and its fields.
///
/// ```
/// use foxtailhinge::logging::Event;
///
/// Event::new("zone_out").field("zone", "windhoek-2").info();
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "an event is written by error(), warn(), info() or debug()"]
pub struct Event {
    name: &'static str,
    line: String,
    /// Lines dropped before this one, if the rate limit has admitted it already.
    left_out: Option<u64>,
}

impl Event {
    /// Creates an event without fields; `name` is in snake case.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            line: format!("event={name}"),
            left_out: None,
        }
    }

    /// Creates an event if the rate limit admits a line of it now, and counts a dropped line otherwise.
    ///
    /// For frequent events: the fields of a dropped line need not be formatted.
    pub fn if_admitted(name: &'static str) -> Option<Self> {
        match RATES.with_borrow_mut(|rates| rates.admit(name, Instant::now())) {
            Admitted::No => None,
            Admitted::Yes { left_out } => Some(Self {
                left_out: Some(left_out),
                ..Self::new(name)
            }),
        }
    }

    /// Appends a field; the value is quoted if necessary.
    pub fn field(mut self, key: &'static str, value: impl Display) -> Self {
        self.line.push(' ');
        self.line.push_str(key);
        self.line.push('=');
        push_value(&mut self.line, &value.to_string());
        self
    }

    /// Returns the log line without time and level.
    pub fn as_str(&self) -> &str {
        &self.line
    }

    /// Logs a failure that an operator has to act on.
    pub fn error(self) {
        self.write(Level::Error);
    }

    /// Logs a condition that may need an operator.
    pub fn warn(self) {
        self.write(Level::Warn);
    }

    /// Logs a change of state.
    pub fn info(self) {
        self.write(Level::Info);
    }

    /// Logs a detail for developers.
    pub fn debug(self) {
        self.write(Level::Debug);
    }

    fn write(self, level: Level) {
        if !log::log_enabled!(target: TARGET, level) {
            return;
        }
        let admitted = match self.left_out {
            Some(left_out) => Admitted::Yes { left_out },
            None => RATES.with_borrow_mut(|rates| rates.admit(self.name, Instant::now())),
        };
        match admitted {
            Admitted::No => (),
            Admitted::Yes { left_out: 0 } => log::log!(target: TARGET, level, "{}", self.line),
            Admitted::Yes { left_out } => {
                let event = self.field("left_out", left_out);
                log::log!(target: TARGET, level, "{}", event.line);
            }
        }
    }
}

/// Appends a value, quoted and escaped unless it is a single plain word.
fn push_value(line: &mut String, value: &str) {
    let is_word = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(is_word) {
        line.push_str(value);
        return;
    }
    line.push('"');
    for c in value.chars() {
        match c {
            '"' | '\\' => {
                line.push('\\');
                line.push(c);
            }
            '\n' => line.push_str("\\n"),
            '\r' => line.push_str("\\r"),
            '\t' => line.push_str("\\t"),
            c if c.is_control() => write!(line, "\\u{{{:x}}}", u32::from(c)).unwrap_or(()),
            c => line.push(c),
        }
    }
    line.push('"');
}

thread_local! {
    static RATES: RefCell<RateLimit> = RefCell::default();
}

/// Decision of the rate limit about a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// The line may be written.
    Yes {
        /// Lines of the same event that were dropped since the last written one.
        left_out: u64,
    },
    /// The line is dropped.
    No,
}

/// Rate limit of log lines, separate for each event name.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    events: HashMap<&'static str, Rate>,
}

#[derive(Clone, Debug)]
struct Rate {
    since: Instant,
    lines: u32,
    left_out: u64,
}

impl RateLimit {
    /// Decides whether a line of the event `name` may be written at `now`, and counts it.
    pub fn admit(&mut self, name: &'static str, now: Instant) -> Admitted {
        let rate = self.events.entry(name).or_insert(Rate {
            since: now,
            lines: 0,
            left_out: 0,
        });
        if now.saturating_duration_since(rate.since) >= RATE_WINDOW {
            rate.since = now;
            rate.lines = 0;
        }
        if rate.lines >= RATE_LINES {
            rate.left_out += 1;
            return Admitted::No;
        }
        rate.lines += 1;
        let left_out = std::mem::take(&mut rate.left_out);
        Admitted::Yes { left_out }
    }
}
