//! Tenants, their API keys, and the look-up of a tenant by key.
//!
//! Keys are held as plain text only while a configuration is loaded. Afterwards only a keyed hash
//! is stored, with a secret of the process, so that keys can't be read from memory or logs.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use calicohoist_types::{Finding, TenantId};
use serde::{Deserialize, Serialize};

use crate::eligibility::HomeRegions;

/// API key in plain text, as sent by a caller or configured by an operator. Redacted in `Debug`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Credential of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No credential.
    Missing,
    /// Unsupported scheme, invalid text, or more than one credential.
    Malformed,
    /// An API key.
    Key(ApiKey),
}

/// Rate limit of a tenant, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Burst size, in requests.
    pub burst: f64,
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s+{}", self.per_second, self.burst)
    }
}

/// A tenant with its keys and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, as sent to replicas.
    pub id: TenantId,
    /// API keys.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, which takes precedence over that of their route; 0 is the
    /// highest.
    pub priority: Option<u8>,
    /// Rate limit, if any.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be served and their content stored.
    pub homes: HomeRegions,
}

/// Adds findings about the tenants of a configuration.
pub(crate) fn check(tenants: &[Tenant], findings: &mut Vec<Finding>) {
    let mut indices_by_name = HashMap::new();
    let mut indices_by_key = HashMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let field = format!("tenants[{index}]");
        check_name(&field, tenant, findings);
        check_limit(&field, tenant, findings);
        if let Some(previous) = indices_by_name.insert(tenant.id.as_str(), index) {
            let problem = format!("has the name of tenants[{previous}]");
            findings.push(Finding::of_field(format!("{field}.name"), problem, "each name once"));
        }
        for key in &tenant.keys {
            let first = *indices_by_key.entry(key.0.as_str()).or_insert(index);
            if first != index {
                let problem = format!("has a key of tenants[{first}]");
                let accepted = "keys that no other tenant has";
                findings.push(Finding::of_field(format!("{field}.api_keys"), problem, accepted));
            }
        }
    }
}

/// The name is sent in a header and prefixed to names that the tenant chooses.
fn check_name(field: &str, tenant: &Tenant, findings: &mut Vec<Finding>) {
    let name = tenant.id.as_str();
    if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        let accepted = "visible ASCII without blanks";
        findings.push(Finding::of_field(format!("{field}.name"), format!("{name:?}"), accepted));
    }
}

fn check_limit(field: &str, tenant: &Tenant, findings: &mut Vec<Finding>) {
    let Some(limit) = tenant.limit else {
        return;
    };
    let is_valid = |value: f64| value.is_finite() && value >= 0.0;
    if !is_valid(limit.per_second) || !is_valid(limit.burst) {
        let accepted = "numbers from 0 on";
        findings.push(Finding::of_field(format!("{field}.limit"), limit.to_string(), accepted));
    }
}

/// Secret of the process for hashing API keys.
#[derive(Clone)]
pub struct KeySecret([u8; blake3::KEY_LEN]);

impl KeySecret {
    /// Creates a secret from random bytes.
    pub fn new(bytes: [u8; blake3::KEY_LEN]) -> Self {
        Self(bytes)
    }

    fn digest(&self, key: &ApiKey) -> blake3::Hash {
        blake3::keyed_hash(&self.0, key.0.as_bytes())
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeySecret(..)")
    }
}

/// Look-up of tenants by API key.
#[derive(Debug)]
pub struct ApiKeyIndex {
    secret: KeySecret,
    tenants: Vec<Arc<Tenant>>,
    /// Index of the tenant, by hash of the key. Hashes are compared in constant time.
    indices_by_key: HashMap<blake3::Hash, usize>,
}

impl ApiKeyIndex {
    /// Creates the look-up from the tenants of a valid configuration. Drops the plain text of
    /// keys.
    pub fn new(tenants: Vec<Tenant>, secret: &KeySecret) -> Self {
        let mut indices_by_key = HashMap::new();
        let mut indexed = Vec::with_capacity(tenants.len());
        for mut tenant in tenants {
            let keys = std::mem::take(&mut tenant.keys);
            indices_by_key.extend(keys.iter().map(|key| (secret.digest(key), indexed.len())));
            indexed.push(Arc::new(tenant));
        }
        Self { secret: secret.clone(), tenants: indexed, indices_by_key }
    }

    /// Returns whether there are no tenants; requests then need no API key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the tenant with this key.
    pub fn find(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        let index = self.indices_by_key.get(&self.secret.digest(key))?;
        self.tenants.get(*index)
    }
}
