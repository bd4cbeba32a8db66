//! Logs: one line for each record on standard output, as text or JSON.
//!
//! A thread of its own writes, so a reader that does not read delays no request. Lines beyond what the
//! thread keeps up with, or beyond a number a second, are left out, and a later line says how many.

use std::fmt::Write as _;
use std::io::Write as _;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use fern::Dispatch;
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use seam_config::settings::{LogFormat, LogSettings};
use seam_http::lock;
use serde_json::Map;
use snafu::{ResultExt, Snafu};

/// Lines that wait for the thread that writes.
const WAITING: usize = 2048;
/// Lines a second below the level of warnings.
const MOST_A_SECOND: u32 = 1000;

/// Why logs could not be started.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// Another logger is in place.
    #[snafu(display("logs are already started: {source}"))]
    Started {
        /// The library's words.
        source: log::SetLoggerError,
    },
    /// The system gives no thread.
    #[snafu(display("no thread for the log: {source}"))]
    Thread {
        /// The system's words.
        source: std::io::Error,
    },
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn level(text: &str) -> LevelFilter {
    LevelFilter::from_str(text).unwrap_or(LevelFilter::Info)
}

/// Collects the fields of a record.
#[derive(Default)]
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn fields(record: &Record) -> Map<String, serde_json::Value> {
    let mut fields = Fields::default();
    // Visiting plain values does not fail.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Writes a record as text.
fn human(record: &Record, message: &std::fmt::Arguments) -> String {
    let (level, module) = (record.level(), record.target());
    let mut line = format!("{} {level:5} {module}: {message}", unix_ms());
    for (key, value) in fields(record) {
        let _ = write!(line, " {key}={value}");
    }
    line
}

/// Writes a record as one JSON object.
fn json(record: &Record, message: &std::fmt::Arguments) -> String {
    let mut line = Map::new();
    line.insert("unix_ms".to_owned(), unix_ms().into());
    line.insert("level".to_owned(), record.level().as_str().into());
    line.insert("module".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.to_string().into());
    line.append(&mut fields(record));
    serde_json::Value::Object(line).to_string()
}

#[derive(Debug, Default)]
struct Second {
    number: u64,
    lines: u32,
}

/// Hands lines to the thread that writes them.
struct Writer {
    lines: SyncSender<String>,
    second: Mutex<Second>,
    left_out: AtomicU64,
}

impl Writer {
    /// Counts a line, and tells whether it is within the bound.
    fn within_bound(&self) -> bool {
        const MILLIS: u64 = 1000;
        let number = unix_ms() / MILLIS;
        let mut second = lock(&self.second);
        if second.number != number {
            *second = Second { number, lines: 0 };
        }
        second.lines += 1;
        second.lines <= MOST_A_SECOND
    }
}

impl Log for Writer {
    fn enabled(&self, _metadata: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let urgent = record.level() <= log::Level::Warn;
        let within = self.within_bound();
        let left_out = self.left_out.load(Ordering::Relaxed);
        let mut line = record.args().to_string();
        if left_out > 0 && within {
            let _ = write!(line, "\n{left_out} lines of the log were left out");
        }
        if (urgent || within) && self.lines.try_send(line).is_ok() {
            if within {
                self.left_out.fetch_sub(left_out, Ordering::Relaxed);
            }
        } else {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Writes lines until the logger is gone. A standard output that cannot be written to ends it.
fn write_lines(lines: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        let written = writeln!(out, "{line}").and_then(|()| out.flush());
        if written.is_err() {
            break;
        }
    }
}

/// Starts logging to standard output.
///
/// # Errors
/// See [`LogError`].
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let mut dispatch = Dispatch::new().level(level(&settings.level));
    for (module, text) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), level(text));
    }
    let form = settings.format;
    let dispatch = dispatch.format(move |out, message, record| {
        let line = match form {
            LogFormat::Human => human(record, message),
            LogFormat::Json => json(record, message),
        };
        out.finish(format_args!("{line}"));
    });
    let (sender, lines) = sync_channel(WAITING);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines))
        .context(ThreadSnafu)?;
    let writer: Box<dyn Log> = Box::new(Writer {
        lines: sender,
        second: Mutex::default(),
        left_out: AtomicU64::new(0),
    });
    let (most, logger) = dispatch.chain(writer).into_log();
    log::set_boxed_logger(logger).context(StartedSnafu)?;
    log::set_max_level(most);
    Ok(())
}

/// Lowers or raises the level of all modules together, as on SIGHUP.
pub fn set_level(settings: &LogSettings) {
    log::set_max_level(level(&settings.level));
}
