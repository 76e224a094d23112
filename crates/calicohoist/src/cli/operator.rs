//! Operator commands: client of the gateway's resource API, with table or JSON output.

use std::path::Path;
use std::time::Duration;

use calicohoist_http::{ClientError, HttpClient, Method};
use calicohoist_types::{Finding, Findings, ResourceKind};
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use eyre::{Result, bail, eyre};
use rand::RngExt;
use serde_json::{Value, json};
use toml_edit::Document;

use super::Target;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(250);
const REQUEST_ID_HEADER: &str = "calicohoist-request";

fn client(target: &Target) -> HttpClient {
    HttpClient::new(target.gateway, CONNECT_TIMEOUT, REPLY_TIMEOUT)
}

fn fetch(target: &Target, path: &str) -> Result<Value> {
    client(target).get(path).map_err(api_error)
}

/// Extracts the message of an API error response.
fn api_error(error: ClientError) -> eyre::Report {
    let ClientError::Status { status, body } = &error else {
        return eyre!(error);
    };
    let parsed: Value = serde_json::from_str(body).unwrap_or_default();
    match parsed["error"]["message"].as_str() {
        Some(message) => eyre!("{message} (status {status})"),
        None => eyre!(error),
    }
}

fn print_json(value: &Value) {
    println!("{value:#}");
}

pub(super) fn get(target: &Target, kind: &str, name: Option<&str>) -> Result<()> {
    let items = match name {
        Some(name) => vec![fetch(target, &format!("/apis/v1/{kind}/{name}"))?],
        None => fetch_all_pages(target, kind)?,
    };
    if target.json {
        print_json(&Value::Array(items));
        return Ok(());
    }
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(["KIND", "NAME", "VERSION", "SPEC"]);
    for item in &items {
        let text = |field: &str| item[field].to_string().replace('"', "");
        table.add_row([text("kind"), text("name"), text("version"), item["spec"].to_string()]);
    }
    println!("{table}");
    Ok(())
}

fn fetch_all_pages(target: &Target, kind: &str) -> Result<Vec<Value>> {
    let mut items = Vec::new();
    let mut after = String::new();
    loop {
        let page = fetch(target, &format!("/apis/v1/{kind}?limit=500{after}"))?;
        items.extend(page["items"].as_array().cloned().unwrap_or_default());
        match page["next"].as_str() {
            Some(next) => after = format!("&after={next}"),
            None => return Ok(items),
        }
    }
}

/// Resource declared in a file.
struct DeclaredResource {
    /// Line of the table header.
    line: usize,
    kind: String,
    name: String,
    spec: Value,
}

pub(super) fn apply(target: &Target, file: &Path, dry_run: bool) -> Result<()> {
    let declared = read_declarations(file)?;
    // Validate all resources before applying any.
    let mut findings = Vec::new();
    for resource in &declared {
        findings.extend(put_resource(target, file, resource, true)?);
    }
    Findings::into_result(findings)?;
    if dry_run {
        println!("{} resources accepted, nothing changed", declared.len());
        return Ok(());
    }
    let mut findings = Vec::new();
    for resource in &declared {
        findings.extend(put_resource(target, file, resource, false)?);
    }
    Findings::into_result(findings)?;
    println!("{} resources applied", declared.len());
    Ok(())
}

fn read_declarations(file: &Path) -> Result<Vec<DeclaredResource>> {
    let text = std::fs::read_to_string(file)?;
    let document: Document<String> = text.parse().map_err(|error: toml_edit::TomlError| {
        let line = error.span().map(|span| line_number(&text, span.start));
        let mut finding = Finding::of_field("", error.message(), "a TOML document");
        finding.place.file = file.display().to_string();
        finding.place.line = line;
        Findings(vec![finding])
    })?;
    let tables = document.get("resource").and_then(|item| item.as_array_of_tables());
    let tables = tables.ok_or_else(|| eyre!("{}: no [[resource]] tables", file.display()))?;
    let mut declared = Vec::new();
    for table in tables {
        let line = table.span().map_or(1, |span| line_number(&text, span.start));
        let field = |name: &str| table.get(name).and_then(|item| item.as_str()).map(str::to_owned);
        let (Some(kind), Some(name)) = (field("kind"), field("name")) else {
            bail!("{}:{line}: a resource needs kind and name", file.display());
        };
        let spec = table.get("spec").and_then(|item| item.as_table_like());
        let fields = spec.into_iter().flat_map(|spec| spec.iter());
        let spec = fields.map(|(name, item)| (name.to_owned(), toml_to_json(item))).collect();
        declared.push(DeclaredResource { line, kind, name, spec: Value::Object(spec) });
    }
    Ok(declared)
}

fn toml_to_json(item: &toml_edit::Item) -> Value {
    if let Some(text) = item.as_str() {
        json!(text)
    } else if let Some(number) = item.as_integer() {
        json!(number)
    } else if let Some(boolean) = item.as_bool() {
        json!(boolean)
    } else {
        json!(item.to_string().trim())
    }
}

fn line_number(text: &str, byte: usize) -> usize {
    text[..byte.min(text.len())].matches('\n').count() + 1
}

/// Submits one resource and returns the findings of the server.
fn put_resource(
    target: &Target,
    file: &Path,
    resource: &DeclaredResource,
    dry_run: bool,
) -> Result<Vec<Finding>> {
    let DeclaredResource { line, kind, name, spec } = resource;
    let path = format!("/apis/v1/{kind}/{name}?dry_run={dry_run}");
    let client = client(target).with_header(REQUEST_ID_HEADER, request_id());
    let response = client.request_json(Method::PUT, &path, spec)?;
    if response.is_success() {
        return Ok(Vec::new());
    }
    let body: Value = response.read_json().unwrap_or_default();
    let mut findings: Vec<Finding> =
        serde_json::from_value(body["error"]["findings"].clone()).unwrap_or_default();
    if findings.is_empty() {
        let message = body["error"]["message"].as_str().unwrap_or("refused").to_owned();
        findings.push(Finding::of_field("", message, "see docs/API.md"));
    }
    for finding in &mut findings {
        finding.place.file = file.display().to_string();
        finding.place.line = Some(*line);
        finding.place.field = format!("{kind}/{name}.{}", finding.place.field);
    }
    Ok(findings)
}

fn request_id() -> String {
    format!("cli-{:016x}", rand::rng().random::<u64>())
}

pub(super) fn delete(target: &Target, kind: &str, name: &str, version: Option<u64>) -> Result<()> {
    let query = version.map_or(String::new(), |version| format!("?version={version}"));
    let path = format!("/apis/v1/{kind}/{name}{query}");
    let client = client(target).with_header(REQUEST_ID_HEADER, request_id());
    let response: Value = client.delete(&path).map_err(api_error)?;
    if target.json {
        print_json(&response);
    } else {
        println!("{kind}/{name} deleted at revision {}", response["revision"]);
    }
    Ok(())
}

pub(super) fn watch(target: &Target, after: u64, count: Option<usize>) -> Result<()> {
    let mut after = after;
    let mut printed = 0;
    while count.is_none_or(|count| printed < count) {
        let update = fetch(target, &format!("/apis/v1/changes?after={after}"))?;
        let is_full_state = update["whole"] == json!(true);
        let field = if is_full_state { "items" } else { "changes" };
        let rows = update[field].as_array().cloned().unwrap_or_default();
        if is_full_state {
            println!(
                "# changes up to {} are no longer kept; the whole state follows",
                update["revision"]
            );
        }
        for row in &rows {
            println!("{row}");
        }
        printed += rows.len();
        after = update["revision"].as_u64().unwrap_or(after).max(after);
        if rows.is_empty() {
            std::thread::sleep(WATCH_POLL_INTERVAL);
        }
    }
    Ok(())
}

pub(super) fn status(target: &Target) -> Result<()> {
    let status = fetch(target, "/apis/v1/status")?;
    let groups = fetch(target, "/apis/v1/groups")?;
    if target.json {
        print_json(&json!({ "fleet": status, "groups": groups["groups"] }));
        return Ok(());
    }
    println!("accepted revision {}, in force {}", status["revision"], status["in_force"]);
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(["NODE", "REVISION"]);
    for node in status["nodes"].as_array().into_iter().flatten() {
        let name = node["node"].as_str().unwrap_or_default().to_owned();
        table.add_row([name, node["revision"].to_string()]);
    }
    println!("{table}");
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(["GROUP", "LEADER", "TERM", "COMMIT", "VOTERS"]);
    for group in groups["groups"].as_array().into_iter().flatten() {
        let voters = group["voters"].as_array().map_or(0, Vec::len);
        let text = |field: &str| group[field].to_string();
        let row = [text("group"), text("leader"), text("term"), text("commit"), voters.to_string()];
        table.add_row(row);
    }
    println!("{table}");
    Ok(())
}

pub(super) fn drain(target: &Target, kind: &str, name: &str, drain: bool) -> Result<()> {
    let drainable = [ResourceKind::Engine.as_str(), ResourceKind::Service.as_str()];
    if !drainable.contains(&kind) {
        bail!("{kind:?} cannot be drained; accepted are engine and service");
    }
    let resource = fetch(target, &format!("/apis/v1/{kind}/{name}"))?;
    let mut spec = resource["spec"].clone();
    spec["drain"] = json!(drain);
    let path = format!("/apis/v1/{kind}/{name}?version={}", resource["version"]);
    let client = client(target).with_header(REQUEST_ID_HEADER, request_id());
    let response: Value = client.put(&path, &spec).map_err(api_error)?;
    if target.json {
        print_json(&response);
    } else {
        let verb = if drain { "draining" } else { "back in service" };
        println!("{kind}/{name} {verb} as of revision {}", response["version"]);
    }
    Ok(())
}
