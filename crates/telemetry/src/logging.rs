//! Log output through `fern`: text for people or JSON for machines, on standard error.

use eyre::{Result, WrapErr};
use log::kv::Key;
use log::{LevelFilter, Record};
use serde_json::json;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Shape of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Shape of a line.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LevelFilter,
}

/// Installs the process's logger.
///
/// # Errors
/// When a logger was installed before.
pub fn install(settings: LogSettings) -> Result<()> {
    let format = settings.format;
    fern::Dispatch::new()
        .level(settings.level)
        .format(move |out, message, record| {
            let line = match format {
                LogFormat::Text => text_line(&message.to_string(), record),
                LogFormat::Json => json_line(&message.to_string(), record),
            };
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()
        .wrap_err("a logger is installed already")
}

fn text_line(message: &str, record: &Record<'_>) -> String {
    let code = event_code(record).map_or_else(String::new, |code| format!("CH{code:04} "));
    format!("{} {:5} {code}{message}", timestamp(), record.level())
}

fn json_line(message: &str, record: &Record<'_>) -> String {
    json!({
        "time": timestamp(),
        "level": record.level().as_str(),
        "event": event_code(record),
        "target": record.target(),
        "message": message,
    })
    .to_string()
}

fn event_code(record: &Record<'_>) -> Option<u64> {
    record.key_values().get(Key::from_str("event"))?.to_u64()
}

fn timestamp() -> String {
    let now = OffsetDateTime::now_utc();
    now.format(&Rfc3339).unwrap_or_default()
}
