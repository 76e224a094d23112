//! Resources declared by operators, and their validation.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::Finding;
use crate::ids::{ModelId, Revision, Zone, is_valid_name};

/// Maximum number of concurrent calls of an engine or service.
pub const MAX_SLOTS: u32 = 1_024;
/// Maximum value of a model's limit on generated tokens per call.
pub const MAX_OUTPUT_TOKENS: u64 = 100_000;

/// Kind of a resource.
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
    /// All kinds, in the order used in listings.
    pub const ALL: [Self; 4] = [Self::Model, Self::Engine, Self::Service, Self::Tenant];

    /// Returns the name used in paths and files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Engine => "engine",
            Self::Service => "service",
            Self::Tenant => "tenant",
        }
    }

    /// Parses the name returned by [`ResourceKind::as_str`].
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Identifies a resource by kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, unique within the kind.
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
    /// Maximum number of tokens that a call may generate.
    pub max_output_tokens: u64,
    /// Maximum length of a prompt, in tokens.
    pub max_prompt_tokens: u64,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Listening address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Model that the engine serves.
    pub model: ModelId,
    /// Maximum number of concurrent calls; further calls wait at the gateway that owns the engine.
    pub slots: u32,
    /// Whether it is drained: it gets no new work.
    #[serde(default)]
    pub drain: bool,
}

/// One replica of a tool service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub service: String,
    /// Listening address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is drained: it gets no new work.
    #[serde(default)]
    pub drain: bool,
}

/// A tenant and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Default budget of a program, in tokens.
    pub default_program_tokens: u64,
    /// Maximum budget that a program may request, in tokens.
    pub max_program_tokens: u64,
    /// Maximum number of calls of a program.
    pub max_calls: u64,
}

/// Specification of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResourceSpec {
    /// Specification of a model.
    Model(ModelSpec),
    /// Specification of an engine.
    Engine(EngineSpec),
    /// Specification of a service replica.
    Service(ServiceSpec),
    /// Specification of a tenant.
    Tenant(TenantSpec),
}

impl ResourceSpec {
    /// Returns the kind of the resource.
    pub const fn kind(&self) -> ResourceKind {
        match self {
            Self::Model(_) => ResourceKind::Model,
            Self::Engine(_) => ResourceKind::Engine,
            Self::Service(_) => ResourceKind::Service,
            Self::Tenant(_) => ResourceKind::Tenant,
        }
    }

    /// Validates the specification; the result is empty if it is valid.
    pub fn validate(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        match self {
            Self::Model(spec) => {
                check_range(
                    &mut findings,
                    "max_output_tokens",
                    spec.max_output_tokens,
                    MAX_OUTPUT_TOKENS,
                );
                check_range(
                    &mut findings,
                    "max_prompt_tokens",
                    spec.max_prompt_tokens,
                    u64::from(u32::MAX),
                );
            }
            Self::Engine(spec) => {
                check_range(&mut findings, "slots", u64::from(spec.slots), u64::from(MAX_SLOTS));
                check_name(&mut findings, "model", spec.model.as_str());
                check_name(&mut findings, "zone", spec.zone.as_str());
            }
            Self::Service(spec) => {
                check_range(&mut findings, "slots", u64::from(spec.slots), u64::from(MAX_SLOTS));
                check_name(&mut findings, "service", &spec.service);
                check_name(&mut findings, "zone", spec.zone.as_str());
            }
            Self::Tenant(spec) => validate_tenant(&mut findings, spec),
        }
        findings
    }
}

fn validate_tenant(findings: &mut Vec<Finding>, spec: &TenantSpec) {
    let max = u64::from(u32::MAX);
    check_range(findings, "max_program_tokens", spec.max_program_tokens, max);
    check_range(findings, "default_program_tokens", spec.default_program_tokens, max);
    check_range(findings, "max_calls", spec.max_calls, max);
    if spec.default_program_tokens > spec.max_program_tokens {
        findings.push(Finding::of_field(
            "default_program_tokens",
            "is larger than max_program_tokens",
            format!("at most {}", spec.max_program_tokens),
        ));
    }
}

fn check_range(findings: &mut Vec<Finding>, field: &str, value: u64, max: u64) {
    if value == 0 || value > max {
        let problem = format!("{value} is out of range");
        findings.push(Finding::of_field(field, problem, format!("1 to {max}")));
    }
}

fn check_name(findings: &mut Vec<Finding>, field: &str, name: &str) {
    if !is_valid_name(name) {
        let problem = format!("{name:?} is not a name");
        let accepted = "1 to 128 letters, digits, '-', '_', '.' or ':'";
        findings.push(Finding::of_field(field, problem, accepted));
    }
}

/// Resource with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Kind and name of the resource.
    pub key: ResourceKey,
    /// Revision of the last change, used as version in compare-and-set.
    pub version: Revision,
    /// Specification of the resource.
    pub spec: ResourceSpec,
}
