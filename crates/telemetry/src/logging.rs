//! Logger setup and line formatting, as plain text or JSON.

use eyre::{Result, WrapErr};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use serde_json::Map;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::events::Event;
use crate::non_blocking::{LinePriority, NonBlockingWriter};

/// Target whose lines are dropped: our server reports its errors, and closes its listener on a stop.
const HTTP_LIBRARY: &str = "tiny_http";

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Logger settings.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Maximum verbosity that is written.
    pub level: LevelFilter,
    /// Node name added to every JSON line; omitted if empty.
    pub node: String,
}

/// Installs a logger that writes to standard error and blocks if standard error does.
///
/// # Errors
/// Returns an error if a logger is already installed.
pub fn install(settings: LogSettings) -> Result<()> {
    let level = settings.level;
    fern::Dispatch::new()
        .level(level)
        .level_for(HTTP_LIBRARY, LevelFilter::Off)
        .format(move |out, message, record| {
            let line = format_line(&settings, &message.to_string(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()
        .wrap_err("a logger is already installed")
}

/// Installs a logger that writes to standard output without blocking the caller.
///
/// # Errors
/// Returns an error if a logger is already installed or the writer thread cannot be started.
pub fn install_non_blocking(settings: LogSettings) -> Result<()> {
    let level = settings.level;
    let output = NonBlockingWriter::start(std::io::stdout())?;
    let write = move |record: &Record<'_>| {
        let line = format_line(&settings, &record.args().to_string(), record);
        output.write(line_priority(record), line);
    };
    fern::Dispatch::new()
        .level(level)
        .level_for(HTTP_LIBRARY, LevelFilter::Off)
        .chain(fern::Output::call(write))
        .apply()
        .wrap_err("a logger is already installed")
}

/// Waits for queued lines to be written; call it before the process exits.
pub fn drain() {
    std::thread::sleep(crate::non_blocking::DRAIN_DELAY);
}

fn line_priority(record: &Record<'_>) -> LinePriority {
    let code = event_code(record);
    let is_step = code
        .is_some_and(|code| Event::REQUEST_STEPS.iter().any(|step| code == u64::from(step.code())));
    if is_step && record.level() >= Level::Info { LinePriority::Low } else { LinePriority::High }
}

fn format_line(settings: &LogSettings, message: &str, record: &Record<'_>) -> String {
    match settings.format {
        LogFormat::Text => format_text_line(message, record),
        LogFormat::Json => format_json_line(&settings.node, message, record),
    }
}

fn format_text_line(message: &str, record: &Record<'_>) -> String {
    let mut fields = FieldCollector(Map::new());
    let _ = record.key_values().visit(&mut fields);
    fields.0.remove(EVENT_KEY);
    let name =
        record_event(record).map_or_else(String::new, |event| format!("{event} {} ", event.name()));
    let pairs: Vec<String> = fields.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} {:5} {name}{message}{}", timestamp(), record.level(), pairs.join(" "))
}

fn format_json_line(node: &str, message: &str, record: &Record<'_>) -> String {
    let mut fields = FieldCollector(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let mut object = fields.0;
    object.insert("time".to_owned(), timestamp().into());
    object.insert("level".to_owned(), record.level().as_str().into());
    if let Some(event) = record_event(record) {
        object.insert("name".to_owned(), event.name().into());
    }
    if !node.is_empty() {
        object.insert("node".to_owned(), node.into());
    }
    if !message.is_empty() {
        object.insert("message".to_owned(), message.into());
    }
    serde_json::Value::Object(object).to_string()
}

/// Collects the key-value pairs of a record.
struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> std::result::Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

const EVENT_KEY: &str = "event";

fn event_code(record: &Record<'_>) -> Option<u64> {
    record.key_values().get(Key::from_str(EVENT_KEY))?.to_u64()
}

fn record_event(record: &Record<'_>) -> Option<Event> {
    let code = event_code(record)?;
    Event::ALL.iter().copied().find(|event| u64::from(event.code()) == code)
}

fn timestamp() -> String {
    let now = OffsetDateTime::now_utc();
    now.format(&Rfc3339).unwrap_or_default()
}
