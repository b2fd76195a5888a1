//! Structured logs, one line of key=value pairs for each event.

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

/// Target of the records that come from [`Event`].
const TARGET: &str = "event";

/// Targets of this program's own records, which follow the level of the settings.
const OWN_TARGETS: [&str; 4] = [TARGET, "admin", "audit", "foxtailhinge"];

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

/// Most lines of one event in one [`RATE_WINDOW`]; further ones are counted and left out.
pub const RATE_LINES: u32 = 20;

/// Window of the rate limit.
pub const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Longest line; what a pipe takes at once, so that a write of a line never waits half way.
const LINE_MAX: usize = 4_096;

/// Lines that were lost since standard output had no room.
static LINES_LOST: AtomicU64 = AtomicU64::new(0);

/// Number of lines that were lost since nobody read standard output.
pub fn lines_lost() -> u64 {
    LINES_LOST.load(Ordering::Relaxed)
}

/// Standard output, which is written only when that does not wait.
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

/// The level of the settings in the words of the log.
pub fn level(level: LogLevel) -> LevelFilter {
    level.as_str().parse().unwrap_or(LevelFilter::Info)
}

/// Levels of the program's own lines and of libraries.
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
/// The program's own lines are written from `level` on, those of libraries from warnings on.
/// Panics and messages that are not key=value pairs become one line each too.
///
/// # Errors
///
/// Fails when a logger was started before.
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

/// Text of a panic's payload.
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

/// One event of the log: a name and fields.
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
}

impl Event {
    /// An event without fields; its name is in snake case.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            line: format!("event={name}"),
        }
    }

    /// Adds a field.
    pub fn field(mut self, key: &'static str, value: impl Display) -> Self {
        self.line.push(' ');
        self.line.push_str(key);
        self.line.push('=');
        push_value(&mut self.line, &value.to_string());
        self
    }

    /// The event as it stands in the log, without time and level.
    pub fn as_str(&self) -> &str {
        &self.line
    }

    /// Writes a failure that an operator has to act on.
    pub fn error(self) {
        self.write(Level::Error);
    }

    /// Writes something that may need an operator.
    pub fn warn(self) {
        self.write(Level::Warn);
    }

    /// Writes a change of state.
    pub fn info(self) {
        self.write(Level::Info);
    }

    /// Writes a detail for developers.
    pub fn debug(self) {
        self.write(Level::Debug);
    }

    fn write(self, level: Level) {
        if !log::log_enabled!(target: TARGET, level) {
            return;
        }
        let admitted = RATES.with_borrow_mut(|rates| rates.admit(self.name, Instant::now()));
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

/// Appends a value, in quotes when it would not read as one word.
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

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It may, and so many of its kind were left out before it.
    Yes {
        /// Lines of the same event that were left out since the last written one.
        left_out: u64,
    },
    /// It may not.
    No,
}

/// Limits how often lines of the same event are written.
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
    /// Decides about one line of the event `name`.
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
