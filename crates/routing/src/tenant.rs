//! Tenants, their keys, and the look-up from a key to its tenant.
//!
//! A key is kept as text only while a configuration is read. From then on there is a
//! keyed hash of it, whose secret belongs to the process, so that neither memory nor a
//! log tells a key.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use calicohoist_types::{Finding, TenantId};
use serde::{Deserialize, Serialize};

use crate::eligibility::HomeRegions;

/// A key as a caller or an operator wrote it. It is never shown.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(String);

impl ApiKey {
    /// Takes a key's text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// What a request shows of whom it comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    Missing,
    /// Something that is no key: another scheme, no text, or two at a time.
    Unreadable,
    /// A key.
    Key(ApiKey),
}

/// Requests that a tenant may send, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests a second in the long run.
    pub per_second: f64,
    /// Requests on top of that, at once.
    pub burst: f64,
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s+{}", self.per_second, self.burst)
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as replicas are told it.
    pub id: TenantId,
    /// Its keys.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, before that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What it may send; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Where its requests may be served and kept.
    pub homes: HomeRegions,
}

/// Adds what is wrong with the tenants of a configuration.
pub(crate) fn check(tenants: &[Tenant], found: &mut Vec<Finding>) {
    let mut names = HashMap::new();
    let mut holders = HashMap::new();
    for (number, tenant) in tenants.iter().enumerate() {
        let field = format!("tenants[{number}]");
        check_name(&field, tenant, found);
        check_limit(&field, tenant, found);
        if let Some(other) = names.insert(tenant.id.as_str(), number) {
            let problem = format!("has the name of tenants[{other}]");
            found.push(Finding::of_field(format!("{field}.name"), problem, "each name once"));
        }
        for key in &tenant.keys {
            let holder = *holders.entry(key.0.as_str()).or_insert(number);
            if holder != number {
                let problem = format!("has a key of tenants[{holder}]");
                let accepted = "keys that no other tenant has";
                found.push(Finding::of_field(format!("{field}.api_keys"), problem, accepted));
            }
        }
    }
}

/// The name goes into a header, and in front of names of the tenant's own.
fn check_name(field: &str, tenant: &Tenant, found: &mut Vec<Finding>) {
    let name = tenant.id.as_str();
    if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        let accepted = "visible ASCII without blanks";
        found.push(Finding::of_field(format!("{field}.name"), format!("{name:?}"), accepted));
    }
}

fn check_limit(field: &str, tenant: &Tenant, found: &mut Vec<Finding>) {
    let Some(limit) = tenant.limit else {
        return;
    };
    let is_amount = |value: f64| value.is_finite() && value >= 0.0;
    if !is_amount(limit.per_second) || !is_amount(limit.burst) {
        let accepted = "numbers from 0 on";
        found.push(Finding::of_field(format!("{field}.limit"), limit.to_string(), accepted));
    }
}

/// The secret of one process, with which it hashes keys.
#[derive(Clone)]
pub struct KeySecret([u8; blake3::KEY_LEN]);

impl KeySecret {
    /// Takes random bytes.
    pub fn new(random: [u8; blake3::KEY_LEN]) -> Self {
        Self(random)
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

/// From keys to tenants.
#[derive(Debug)]
pub struct KeyRing {
    secret: KeySecret,
    tenants: Vec<Arc<Tenant>>,
    /// Index of the tenant, by key. Two hashes are compared in the same time whatever they
    /// are.
    holders: HashMap<blake3::Hash, usize>,
}

impl KeyRing {
    /// Takes the tenants of a valid configuration and forgets their keys' text.
    pub fn new(tenants: Vec<Tenant>, secret: &KeySecret) -> Self {
        let mut holders = HashMap::new();
        let mut kept = Vec::with_capacity(tenants.len());
        for mut tenant in tenants {
            let keys = std::mem::take(&mut tenant.keys);
            holders.extend(keys.iter().map(|key| (secret.digest(key), kept.len())));
            kept.push(Arc::new(tenant));
        }
        Self { secret: secret.clone(), tenants: kept, holders }
    }

    /// Whether there is no tenant: then requests need no key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Tenants held.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        let index = self.holders.get(&self.secret.digest(key))?;
        self.tenants.get(*index)
    }
}
