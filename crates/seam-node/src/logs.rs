//! Logs by `log` and `fern`, for people or as JSON lines.

use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use fern::Dispatch;
use log::LevelFilter;
use seam_config::settings::{LogFormat, LogSettings};
use serde::Serialize;
use snafu::{ResultExt, Snafu};

/// Why logs could not be started.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// Another logger is in place.
    #[snafu(display("logs are already started: {source}"))]
    Started {
        /// The library's words.
        source: log::SetLoggerError,
    },
}

#[derive(Serialize)]
struct JsonLine<'a> {
    unix_ms: u64,
    level: &'a str,
    module: &'a str,
    message: String,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn level(text: &str) -> LevelFilter {
    LevelFilter::from_str(text).unwrap_or(LevelFilter::Info)
}

/// Starts logging to standard error.
///
/// # Errors
/// [`LogError::Started`] if logs were started before.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let mut dispatch = Dispatch::new().level(level(&settings.level));
    for (module, text) in &settings.modules {
        dispatch = dispatch.level_for(module.clone(), level(text));
    }
    let dispatch = match settings.format {
        LogFormat::Human => dispatch.format(|out, message, record| {
            let (level, module) = (record.level(), record.target());
            out.finish(format_args!("{} {level:5} {module}: {message}", unix_ms()));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            let line = JsonLine {
                unix_ms: unix_ms(),
                level: record.level().as_str(),
                module: record.target(),
                message: message.to_string(),
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{text}"));
        }),
    };
    let (most, logger) = dispatch.chain(std::io::stderr()).into_log();
    log::set_boxed_logger(logger).context(StartedSnafu)?;
    log::set_max_level(most);
    Ok(())
}

/// Lowers or raises the level of all modules together, as on SIGHUP.
pub fn set_level(settings: &LogSettings) {
    log::set_max_level(level(&settings.level));
}
