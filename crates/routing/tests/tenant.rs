//! API keys identify one tenant each, and never appear in debug output.

use std::collections::BTreeMap;

use calicohoist_routing::{ApiKey, ApiKeyIndex, Configuration, KeySecret, RateLimit, Tenant};
use calicohoist_types::TenantId;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        id: TenantId::new(name),
        keys: keys.iter().map(|key| ApiKey::new(*key)).collect(),
        priority: None,
        limit: None,
        homes: Default::default(),
    }
}

fn limited(name: &str, per_second: f64, burst: f64) -> Tenant {
    Tenant { limit: Some(RateLimit { per_second, burst }), ..tenant(name, &[]) }
}

fn invalid_fields(tenants: Vec<Tenant>) -> Vec<String> {
    let configuration = Configuration { version: 1, tenants, ..Configuration::default() };
    let findings = configuration.validate().expect_err("findings").0;
    findings.into_iter().map(|finding| finding.place.field).collect()
}

#[test]
fn all_findings_about_tenants_are_reported_at_once() {
    let fields = invalid_fields(vec![
        tenant("first", &["one", "two", "one"]),
        tenant("second", &["three", "two"]),
        tenant("first", &[]),
        tenant("two words", &[]),
        limited("negative", -1.0, 0.0),
        limited("none", f64::NAN, 0.0),
        limited("endless", 1.0, f64::INFINITY),
    ]);
    let expected = [
        "tenants[1].api_keys",
        "tenants[2].name",
        "tenants[3].name",
        "tenants[4].limit",
        "tenants[5].limit",
        "tenants[6].limit",
    ];
    assert_eq!(fields, expected);
}

#[test]
fn large_limits_small_bursts_and_duplicate_keys_of_one_tenant_are_valid() {
    let tenants = vec![
        tenant("first", &["one", "one"]),
        limited("large", 1e12, 1e12),
        limited("burstless", 5.0, 0.0),
        limited("half", 0.5, 0.5),
    ];
    let configuration = Configuration { version: 1, tenants, ..Configuration::default() };
    assert_eq!(configuration.validate(), Ok(()));
}

#[test]
fn debug_output_contains_no_key() {
    let first = tenant("first", &["very-secret"]);
    assert!(!format!("{first:?}").contains("very-secret"));
    let secret = KeySecret::new([42; 32]);
    let index = ApiKeyIndex::new(vec![first], &secret);
    let text = format!("{index:?} {secret:?}");
    assert!(!text.contains("very-secret"));
    assert!(!text.contains("42"));
}

#[test]
fn fifty_thousand_tenants_are_found() {
    let named = |number: u32| tenant(&format!("t{number}"), &[&format!("key-{number}")]);
    let index = ApiKeyIndex::new((0..50_000).map(named).collect(), &KeySecret::new([1; 32]));
    assert_eq!(index.len(), 50_000);
    let found = index.find(&ApiKey::new("key-49999")).expect("a tenant");
    assert_eq!(found.id.as_str(), "t49999");
    assert!(index.find(&ApiKey::new("key-50000")).is_none());
}

proptest! {
    #![proptest_config(config())]

    /// Each configured key maps to its tenant, and any other key to none.
    #[test]
    fn a_key_maps_to_its_tenant_only(
        keys in proptest::collection::btree_map("[a-z0-9]{1,12}", 0_usize..5, 0..20),
        other in "[a-z0-9 ]{0,13}",
        secret in any::<[u8; 32]>(),
    ) {
        let mut keys_by_tenant: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
        for (key, tenant_index) in &keys {
            keys_by_tenant.entry(*tenant_index).or_default().push(key);
        }
        let tenants = keys_by_tenant.iter().map(|(tenant_index, keys)| tenant(&format!("t{tenant_index}"), keys));
        let index = ApiKeyIndex::new(tenants.collect(), &KeySecret::new(secret));
        for (key, tenant_index) in &keys {
            let found = index.find(&ApiKey::new(key.as_str())).expect("a tenant");
            prop_assert_eq!(found.id.as_str(), format!("t{tenant_index}"));
        }
        if !keys.contains_key(&other) {
            prop_assert!(index.find(&ApiKey::new(other.as_str())).is_none());
        }
    }
}
