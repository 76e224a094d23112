//! Log output through `fern`: text for people or JSON for machines.

use eyre::{Result, WrapErr};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};
use serde_json::Map;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::bounded::{BoundedOutput, LineClass};
use crate::events::Event;

/// Shape of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One line for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Shape of a line.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Name of the process, in every JSON line; empty for none.
    pub node: String,
}

/// Installs the process's logger on standard error.
///
/// # Errors
/// When a logger was installed before.
pub fn install(settings: LogSettings) -> Result<()> {
    let level = settings.level;
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = line(&settings, &message.to_string(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()
        .wrap_err("a logger is installed already")
}

/// Installs a logger on standard output that never waits for whoever reads it.
///
/// # Errors
/// When a logger was installed before, or no thread can be started.
pub fn install_bounded(settings: LogSettings) -> Result<()> {
    let level = settings.level;
    let output = BoundedOutput::start(std::io::stdout())?;
    let write = move |record: &Record<'_>| {
        let line = line(&settings, &record.args().to_string(), record);
        output.write(class(record), line);
    };
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(write))
        .apply()
        .wrap_err("a logger is installed already")
}

/// Gives lines that wait time to be written, before the process ends.
pub fn drain() {
    std::thread::sleep(crate::bounded::DRAIN);
}

fn class(record: &Record<'_>) -> LineClass {
    let code = event_code(record);
    let is_step = code
        .is_some_and(|code| Event::REQUEST_STEPS.iter().any(|step| code == u64::from(step.code())));
    if is_step && record.level() >= Level::Info {
        LineClass::Ordinary
    } else {
        LineClass::Essential
    }
}

fn line(settings: &LogSettings, message: &str, record: &Record<'_>) -> String {
    match settings.format {
        LogFormat::Text => text_line(message, record),
        LogFormat::Json => json_line(&settings.node, message, record),
    }
}

fn text_line(message: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields);
    fields.0.remove(EVENT_KEY);
    let name =
        event_of(record).map_or_else(String::new, |event| format!("{event} {} ", event.name()));
    let shown: Vec<String> = fields.0.iter().map(|(key, value)| format!("{key}={value}")).collect();
    format!("{} {:5} {name}{message}{}", timestamp(), record.level(), shown.join(" "))
}

fn json_line(node: &str, message: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    let _ = record.key_values().visit(&mut fields);
    let mut object = fields.0;
    object.insert("time".to_owned(), timestamp().into());
    object.insert("level".to_owned(), record.level().as_str().into());
    if let Some(event) = event_of(record) {
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

/// Gathers the fields of a record.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> std::result::Result<(), Error> {
        let value = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(truth)) => truth.into(),
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

fn event_of(record: &Record<'_>) -> Option<Event> {
    let code = event_code(record)?;
    Event::ALL.iter().copied().find(|event| u64::from(event.code()) == code)
}

fn timestamp() -> String {
    let now = OffsetDateTime::now_utc();
    now.format(&Rfc3339).unwrap_or_default()
}
