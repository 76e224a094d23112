//! Resources that operators declare, and the checks each must pass.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::Finding;
use crate::ids::{ModelId, Revision, Zone, is_valid_name};

/// Largest accepted number of calls an engine or service takes at a time.
pub const MAX_SLOTS: u32 = 1_024;
/// Largest accepted limit of generated tokens for one call.
pub const MAX_OUTPUT_TOKENS: u64 = 100_000;

/// The kinds of resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResourceKind {
    /// A model and its limits.
    Model,
    /// A model engine.
    Engine,
    /// One replica of a tool service.
    Service,
    /// A tenant and its limits.
    Tenant,
}

impl ResourceKind {
    /// Every kind, in the order in which lists show them.
    pub const ALL: [Self; 4] = [Self::Model, Self::Engine, Self::Service, Self::Tenant];

    /// The kind as it stands in paths and files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Tenant => "tenant",
        }
    }

    /// Parses the singular form.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A resource's kind and name: its place in the API.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name, unique within the kind.
    pub name: String,
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// A model and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Most tokens one call may generate.
    pub max_output_tokens: u64,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: u64,
}

/// A model engine: where it is and what it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// The model it serves.
    pub model: ModelId,
    /// Calls it is given at a time; the rest wait at the engine's owner.
    pub slots: u32,
    /// Whether an operator took it out of service for new work.
    #[serde(default)]
    pub drain: bool,
}

/// One replica of a tool service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service it is a replica of.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests it is given at a time.
    pub slots: u32,
    /// Whether an operator took it out of service for new work.
    #[serde(default)]
    pub drain: bool,
}

/// A tenant and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Budget of a program that does not ask for one, in tokens.
    pub default_program_tokens: u64,
    /// Largest budget a program may ask for, in tokens.
    pub max_program_tokens: u64,
    /// Most calls of one program.
    pub max_calls: u64,
}

/// What a resource declares, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceSpec {
    /// See [`ModelSpec`].
    Model(ModelSpec),
    /// See [`EngineSpec`].
    Engine(EngineSpec),
    /// See [`ServiceSpec`].
    Service(ServiceSpec),
    /// See [`TenantSpec`].
    Tenant(TenantSpec),
}

impl ResourceSpec {
    /// The kind this declares.
    pub const fn kind(&self) -> ResourceKind {
        match self {
            Self::Model(_) => ResourceKind::Model,
            Self::Engine(_) => ResourceKind::Engine,
            Self::Service(_) => ResourceKind::Service,
            Self::Tenant(_) => ResourceKind::Tenant,
        }
    }

    /// Everything that is wrong with the declaration; empty when it is accepted.
    pub fn validate(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        match self {
            Self::Model(spec) => {
                check_range(
                    &mut found,
                    "max_output_tokens",
                    spec.max_output_tokens,
                    MAX_OUTPUT_TOKENS,
                );
                check_range(
                    &mut found,
                    "max_prompt_tokens",
                    spec.max_prompt_tokens,
                    u64::from(u32::MAX),
                );
            }
            Self::Engine(spec) => {
                check_range(&mut found, "slots", u64::from(spec.slots), u64::from(MAX_SLOTS));
                check_name(&mut found, "model", spec.model.as_str());
                check_name(&mut found, "zone", spec.zone.as_str());
            }
            Self::Service(spec) => {
                check_range(&mut found, "slots", u64::from(spec.slots), u64::from(MAX_SLOTS));
                check_name(&mut found, "service", &spec.service);
                check_name(&mut found, "zone", spec.zone.as_str());
            }
            Self::Tenant(spec) => validate_tenant(&mut found, spec),
        }
        found
    }
}

fn validate_tenant(found: &mut Vec<Finding>, spec: &TenantSpec) {
    let largest = u64::from(u32::MAX);
    check_range(found, "max_program_tokens", spec.max_program_tokens, largest);
    check_range(found, "default_program_tokens", spec.default_program_tokens, largest);
    check_range(found, "max_calls", spec.max_calls, largest);
    if spec.default_program_tokens > spec.max_program_tokens {
        found.push(Finding::of_field(
            "default_program_tokens",
            "is larger than max_program_tokens",
            format!("at most {}", spec.max_program_tokens),
        ));
    }
}

fn check_range(found: &mut Vec<Finding>, field: &str, value: u64, largest: u64) {
    if value == 0 || value > largest {
        let problem = format!("{value} is out of range");
        found.push(Finding::of_field(field, problem, format!("1 to {largest}")));
    }
}

fn check_name(found: &mut Vec<Finding>, field: &str, name: &str) {
    if !is_valid_name(name) {
        let problem = format!("{name:?} is not a name");
        let accepted = "1 to 128 letters, digits, '-', '_', '.' or ':'";
        found.push(Finding::of_field(field, problem, accepted));
    }
}

/// A declared resource with the revision that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Kind and name.
    pub key: ResourceKey,
    /// Revision of its last change; the version to give for compare-and-set.
    pub version: Revision,
    /// What it declares.
    pub spec: ResourceSpec,
}
