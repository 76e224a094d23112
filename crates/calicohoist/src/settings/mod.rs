//! Typed settings, validated completely before startup.
//!
//! docs/CONFIGURATION.md documents all fields and defaults.

mod reader;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use calicohoist_types::{Finding, Findings, NodeId, Zone};
use reader::{NAME_FORMAT, Reader, Section};

/// Maximum number of store nodes in a cluster.
const MAX_STORE_NODES: usize = 15;

/// Validated settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Node name, unique in the cluster.
    pub name: NodeId,
    /// Zone of the node.
    pub zone: Zone,
    /// Addresses of the store nodes, by number.
    pub machines: BTreeMap<u32, SocketAddr>,
    /// Number of replication groups that programs are sharded over.
    ///
    /// Must be the same on all nodes and cannot be changed later.
    pub program_groups: u32,
    /// Settings of the store role, if enabled.
    pub store: Option<StoreSection>,
    /// Settings of the gateway role, if enabled.
    pub gateway: Option<GatewaySection>,
}

/// Settings of the store role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreSection {
    /// Number of this node in `store_machines`.
    pub machine: u32,
    /// Directory of the log and snapshots.
    pub data_folder: PathBuf,
    /// Listen address of `/healthz`, `/readyz` and `/metrics`.
    pub health: Option<SocketAddr>,
    /// Heartbeat interval.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout.
    pub min_election_timeout: Duration,
    /// Number of log entries between two snapshots of a group.
    pub entries_per_snapshot: u64,
}

/// Settings of the gateway role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySection {
    /// Listen address for clients and operators.
    pub http: SocketAddr,
    /// Listen address for other gateways.
    pub peers: SocketAddr,
    /// Address of the platform's machine list.
    pub platform: Option<SocketAddr>,
    /// Maximum number of concurrent requests.
    pub workers: usize,
    /// Maximum request body size, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Maximum time that a call waits for an engine.
    pub queue_timeout: Duration,
    /// Maximum time that a call waits for a missing predecessor.
    pub gap_timeout: Duration,
    /// Time without backend output after which an attempt is retried elsewhere.
    pub stall_timeout: Duration,
    /// Maximum number of attempts per call.
    pub max_attempts: u32,
    /// Maximum number of calls queued per engine.
    pub max_waiting_per_engine: usize,
    /// Maximum duration of a planned stop.
    pub stop_timeout: Duration,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns all findings if the file is unreadable or invalid.
    pub fn read(path: &std::path::Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => {
                let mut finding = Finding::of_field("", error.to_string(), "a readable file");
                finding.place.file = file;
                Err(Findings(vec![finding]))
            }
        }
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// Returns all findings if the text is invalid.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut reader = Reader::new(file, text);
        let Some(document) = reader.parse() else {
            return Err(Findings(reader.into_findings()));
        };
        let mut root = reader.root(document.as_table());
        let settings = read_root(&mut reader, &mut root);
        reader.report_unknown_fields(root);
        let findings = reader.into_findings();
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(Findings(findings)),
        }
    }
}

fn read_root(reader: &mut Reader<'_>, root: &mut Section<'_>) -> Option<Settings> {
    let name = reader.name(root, "name");
    let zone = reader.name(root, "zone");
    let program_groups = reader.number(root, "program_groups", 1..=1_024, 4) as u32;
    let machines = read_machines(reader, root);
    let store = reader.section(root, "store");
    let store = store.and_then(|section| read_store(reader, section, &machines));
    let gateway = reader.section(root, "gateway");
    let gateway = gateway.and_then(|section| read_gateway(reader, section));
    if store.is_none() && gateway.is_none() && reader.has_no_findings() {
        let accepted = "a table [store], [gateway] or both";
        reader.add_finding("", None, "defines no role", accepted);
    }
    Some(Settings {
        name: NodeId::new(name?),
        zone: Zone::new(zone?),
        machines,
        program_groups,
        store,
        gateway,
    })
}

fn read_machines(reader: &mut Reader<'_>, root: &mut Section<'_>) -> BTreeMap<u32, SocketAddr> {
    let mut machines = BTreeMap::new();
    let sections = reader.sections(root, "store_machines");
    if sections.is_empty() || sections.len() > MAX_STORE_NODES {
        let problem = format!("has {} entries", sections.len());
        reader.add_finding(
            "store_machines",
            None,
            problem,
            format!("1 to {MAX_STORE_NODES} tables"),
        );
    }
    for mut section in sections {
        let number = reader.required(&mut section, "number", "1 to 65535, each once", |item| {
            u32::try_from(item.as_integer()?).ok().filter(|number| *number > 0)
        });
        let address = reader.address(&mut section, "address");
        if let (Some(number), Some(address)) = (number, address) {
            let is_duplicate = machines.values().any(|known| *known == address);
            if is_duplicate {
                let field = section.field("address");
                reader.add_finding(&field, section.span(), "is used twice", "a unique address");
            }
            if machines.insert(number, address).is_some() {
                let field = section.field("number");
                reader.add_finding(&field, section.span(), "is used twice", "a unique number");
            }
        }
        reader.report_unknown_fields(section);
    }
    machines
}

fn read_store(
    reader: &mut Reader<'_>,
    mut section: Section<'_>,
    machines: &BTreeMap<u32, SocketAddr>,
) -> Option<StoreSection> {
    let known: Vec<String> = machines.keys().map(u32::to_string).collect();
    let accepted = format!("one of store_machines: {}", known.join(", "));
    let machine = reader.required(&mut section, "machine", &accepted, |item| {
        let number = u32::try_from(item.as_integer()?).ok()?;
        machines.contains_key(&number).then_some(number)
    });
    let data_folder = reader.required(&mut section, "data_folder", "a folder", |item| {
        item.as_str().filter(|text| !text.is_empty()).map(PathBuf::from)
    });
    let health = read_optional_address(reader, &mut section, "health");
    let heartbeat = reader.number(&mut section, "heartbeat_ms", 5..=10_000, 60);
    let election = reader.number(&mut section, "election_ms", 50..=60_000, 400);
    let entries = reader.number(&mut section, "entries_per_snapshot", 100..=10_000_000, 20_000);
    if election < heartbeat * 3 {
        let field = section.field("election_ms");
        let problem = format!("{election} is less than three heartbeat intervals");
        reader.add_finding(&field, section.span(), problem, format!("{} or more", heartbeat * 3));
    }
    reader.report_unknown_fields(section);
    Some(StoreSection {
        machine: machine?,
        data_folder: data_folder?,
        health,
        heartbeat_interval: Duration::from_millis(heartbeat),
        min_election_timeout: Duration::from_millis(election),
        entries_per_snapshot: entries,
    })
}

fn read_gateway(reader: &mut Reader<'_>, mut section: Section<'_>) -> Option<GatewaySection> {
    let http = reader.address(&mut section, "http");
    let peers = reader.address(&mut section, "peers");
    let platform = read_optional_address(reader, &mut section, "platform");
    let gateway = GatewaySection {
        http: http.unwrap_or_else(unspecified),
        peers: peers.unwrap_or_else(unspecified),
        platform,
        workers: reader.number(&mut section, "workers", 1..=4_096, 64) as usize,
        max_body_bytes: reader.number(&mut section, "max_body_bytes", 1_024..=67_108_864, 4_194_304)
            as usize,
        body_timeout: millis(reader.number(&mut section, "body_timeout_ms", 50..=600_000, 10_000)),
        queue_timeout: millis(reader.number(
            &mut section,
            "queue_timeout_ms",
            100..=3_600_000,
            30_000,
        )),
        gap_timeout: millis(reader.number(&mut section, "gap_timeout_ms", 10..=600_000, 2_000)),
        stall_timeout: millis(reader.number(
            &mut section,
            "stall_timeout_ms",
            100..=600_000,
            10_000,
        )),
        max_attempts: reader.number(&mut section, "max_attempts", 1..=20, 4) as u32,
        max_waiting_per_engine: reader.number(
            &mut section,
            "max_waiting_per_engine",
            1..=100_000,
            256,
        ) as usize,
        stop_timeout: millis(reader.number(
            &mut section,
            "stop_timeout_ms",
            1_000..=3_600_000,
            120_000,
        )),
    };
    reader.report_unknown_fields(section);
    (http.is_some() && peers.is_some()).then_some(gateway)
}

fn read_optional_address(
    reader: &mut Reader<'_>,
    section: &mut Section<'_>,
    name: &'static str,
) -> Option<SocketAddr> {
    reader.optional(section, name, "an IP number and port", |item| item.as_str()?.parse().ok())
}

fn unspecified() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Accepted format of names.
pub const NAME_RULE: &str = NAME_FORMAT;
