//! Logging to standard output, one line per record, as text or JSON.
//!
//! A separate thread writes the lines, so a blocked reader of the output does not delay requests.
//! Lines are dropped if the queue to that thread is full, or if a second has more of them than the
//! rate limit allows. A later line states how many were dropped.

use std::fmt::Write as _;
use std::io::Write as _;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fern::Dispatch;
use log::kv::{self, Key, Value, VisitSource, VisitValue};
use log::{LevelFilter, Log, Metadata, Record};
use seam_config::settings::{LogFormat, LogSettings};
use seam_http::lock;
use serde_json::Map;
use snafu::{ResultExt, Snafu};

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 2048;
/// Maximum number of lines per second. Warnings and errors are exempt.
const MAX_LINES_PER_SECOND: u32 = 1000;

/// An error that prevents logging from starting.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// A logger is already installed.
    #[snafu(display("logging is already started: {source}"))]
    Started {
        /// The error of the `log` crate.
        source: log::SetLoggerError,
    },
    /// The writer thread could not be created.
    #[snafu(display("cannot create the log writer thread: {source}"))]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
}

/// Fields at the start of a line, in this order: those that decide what became of a request. Readers that
/// keep only the first characters of each line keep these.
const FIRST_FIELDS: [&str; 11] = [
    "build",
    "config",
    "config_item",
    "epoch",
    "confirmed_age_ms",
    "config_age_ms",
    "status",
    "reason",
    "path",
    "request",
    "message",
];
/// Fields at the end of a line.
const LAST_FIELDS: [&str; 3] = ["level", "module", "unix_ms"];
/// Characters of a path at the start of a line. A longer one follows in full among the other fields.
const PATH_CHARS: usize = 32;

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn level(text: &str) -> LevelFilter {
    LevelFilter::from_str(text).unwrap_or(LevelFilter::Info)
}

/// Collects the key-value pairs of a record.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

/// Tells whether a value is null.
#[derive(Default)]
struct NullCheck(bool);

impl VisitValue<'_> for NullCheck {
    fn visit_any(&mut self, _value: Value) -> Result<(), kv::Error> {
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.0 = true;
        Ok(())
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let mut null = NullCheck::default();
        value.visit(&mut null)?;
        if null.0 {
            return Ok(());
        }
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Returns the fields of a record with the build, in the order in which they are written.
fn fields(build: &str, record: &Record) -> Vec<(String, serde_json::Value)> {
    let mut fields = Fields::default();
    fields.0.insert("build".to_owned(), build.into());
    // `visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    let mut fields = fields.0;
    if let Some(path) = fields.get("path").and_then(serde_json::Value::as_str)
        && path.chars().count() > PATH_CHARS
    {
        let start: String = path.chars().take(PATH_CHARS - 1).collect();
        let path = fields.insert("path".to_owned(), format!("{start}…").into());
        fields.extend(path.map(|path| ("full_path".to_owned(), path)));
    }
    let mut fields: Vec<_> = fields.into_iter().collect();
    // Stable, so that the other fields keep their alphabetical order.
    fields.sort_by_key(|(key, _)| place(key));
    fields
}

/// Returns the place of a field among the groups of fields in a line.
fn place(key: &str) -> usize {
    let first = FIRST_FIELDS.iter().position(|field| *field == key);
    first.unwrap_or(FIRST_FIELDS.len())
}

/// Formats a record of a build as text.
fn format_text(build: &str, record: &Record, message: &std::fmt::Arguments) -> String {
    let (level, module) = (record.level(), record.target());
    let mut line = format!("{} {level:5} {module}: {message}", unix_ms());
    for (key, value) in fields(build, record) {
        let _ = write!(line, " {key}={value}");
    }
    line
}

/// Formats a record of a build as a JSON object.
fn format_json(build: &str, record: &Record, message: &std::fmt::Arguments) -> String {
    let mut fields = fields(build, record);
    fields.retain(|(key, _)| key != "message" && !LAST_FIELDS.contains(&key.as_str()));
    let rest = fields.partition_point(|(key, _)| place(key) < FIRST_FIELDS.len());
    let text = ("message".to_owned(), message.to_string().into());
    fields.insert(rest, text);
    let last = [
        record.level().as_str().into(),
        record.target().into(),
        unix_ms().into(),
    ];
    let last = LAST_FIELDS.iter().map(|key| (*key).to_owned()).zip(last);
    fields.extend(last);
    let mut line = String::from("{");
    for (index, (key, value)) in fields.iter().enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let _ = write!(line, "{comma}{}:{value}", serde_json::json!(key));
    }
    line.push('}');
    line
}

/// Formats a record of a build as a line.
///
/// ```
/// use seam_config::settings::LogFormat;
/// use seam_node::logs::format_line;
/// let values = [("reason", "service"), ("config", "7")];
/// let mut record = log::Record::builder();
/// let record = record.target("request").level(log::Level::Info).key_values(&values);
/// let line = format_line(LogFormat::Json, "1a2b3c4", &record.args(format_args!("ended")).build());
/// let start = r#"{"build":"1a2b3c4","config":"7","reason":"service","message":"ended","level":"INFO""#;
/// assert!(line.starts_with(start), "{line}");
/// ```
#[must_use]
pub fn format_line(format: LogFormat, build: &str, record: &Record) -> String {
    match format {
        LogFormat::Human => format_text(build, record, record.args()),
        LogFormat::Json => format_json(build, record, record.args()),
    }
}

#[derive(Debug, Default)]
struct Second {
    number: u64,
    lines: u32,
}

/// What the writer thread does next.
enum Order {
    Write(String),
    /// Confirms that all lines before it are written.
    Confirm(SyncSender<()>),
}

/// A logger that sends lines to the writer thread.
struct QueueLogger {
    orders: SyncSender<Order>,
    second: Mutex<Second>,
    /// Number of dropped lines that no line has stated yet.
    dropped: AtomicU64,
}

impl QueueLogger {
    /// Counts a line and returns whether it is within the rate limit.
    fn count_line(&self) -> bool {
        const MILLIS_PER_SECOND: u64 = 1000;
        let number = unix_ms() / MILLIS_PER_SECOND;
        let mut second = lock(&self.second);
        if second.number != number {
            *second = Second { number, lines: 0 };
        }
        second.lines += 1;
        second.lines <= MAX_LINES_PER_SECOND
    }
}

impl Log for QueueLogger {
    fn enabled(&self, _metadata: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let exempt = record.level() <= log::Level::Warn;
        let within_limit = self.count_line();
        let dropped = self.dropped.load(Ordering::Relaxed);
        let mut line = record.args().to_string();
        if dropped > 0 && within_limit {
            let _ = write!(line, "\n{dropped} lines of the log were left out");
        }
        if (exempt || within_limit) && self.orders.try_send(Order::Write(line)).is_ok() {
            if within_limit {
                self.dropped.fetch_sub(dropped, Ordering::Relaxed);
            }
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines are written, but not for long: the reader of the output may be blocked.
    fn flush(&self) {
        const PATIENCE: Duration = Duration::from_millis(500);
        let (confirm, confirmed) = sync_channel(1);
        // A full queue belongs to a blocked reader.
        if self.orders.try_send(Order::Confirm(confirm)).is_ok() {
            let _ = confirmed.recv_timeout(PATIENCE);
        }
    }
}

/// Writes lines until the logger is dropped or standard output fails.
fn write_lines(orders: &Receiver<Order>) {
    let mut out = std::io::stdout();
    while let Ok(order) = orders.recv() {
        let line = match order {
            Order::Write(line) => line,
            Order::Confirm(confirm) => {
                let _ = confirm.try_send(());
                continue;
            }
        };
        let written = writeln!(out, "{line}").and_then(|()| out.flush());
        if written.is_err() {
            break;
        }
    }
}

/// Starts logging to standard output. Each line names the build, for example by its commit.
///
/// # Errors
/// See [`LogError`].
pub fn start(settings: &LogSettings, build: &'static str) -> Result<(), LogError> {
    let mut dispatch = Dispatch::new().level(level(&settings.level));
    for (module, text) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), level(text));
    }
    let format = settings.format;
    let dispatch = dispatch.format(move |out, _, record| {
        let line = format_line(format, build, record);
        out.finish(format_args!("{line}"));
    });
    let (sender, orders) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&orders))
        .context(ThreadSnafu)?;
    let writer: Box<dyn Log> = Box::new(QueueLogger {
        orders: sender,
        second: Mutex::default(),
        dropped: AtomicU64::new(0),
    });
    let (max_level, logger) = dispatch.chain(writer).into_log();
    log::set_boxed_logger(logger).context(StartedSnafu)?;
    log::set_max_level(max_level);
    Ok(())
}

/// Sets the maximum level of all modules, for example on SIGHUP.
pub fn set_level(settings: &LogSettings) {
    log::set_max_level(level(&settings.level));
}
