//! Retained turns with long inputs, many of them at the same moment at one gateway, beside short
//! ones.

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Ledger;
use crate::cluster::{Cluster, GATEWAY_IPS};
use crate::durability::start_model;
use crate::long_histories::{SERVED_SHARE, send_turns, sum};
use crate::support::{configuration, wait_until};

const LONG_CALLERS: usize = 12;
const SHORT_CALLERS: usize = 4;
const INPUT_BYTES: usize = 600 << 10;
const MAX_BODY_BYTES: usize = 4 << 20;
/// Holds the bodies of all callers.
const GATEWAY_MEMORY_MB: usize = 400;
const DURATION: Duration = Duration::from_secs(4);
/// A leader that is silent for long is given up, once for each connection to it.
const MAX_LOST_CONNECTIONS: usize = 4;
const GATEWAY: &str = GATEWAY_IPS[0];

/// Returns how often the gateway gave a connection to the ledger up.
fn lost_connections(cluster: &Cluster) -> usize {
    let log = cluster.folder.path().join(format!("{GATEWAY}.log"));
    let log = fs::read_to_string(log).expect("the log of the gateway");
    log.matches("\"LedgerLost\"").count()
}

#[test]
fn turns_with_long_inputs_are_served_as_short_ones_are() {
    let mut ledger = Ledger::start();
    let mut document = configuration(2);
    document["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
    ledger.operate("PUT", "/-/config", &document.to_string());
    ledger.cluster.memory_mb = GATEWAY_MEMORY_MB;
    let cluster = &ledger.cluster;
    let models = ["hall", "attic"].map(start_model);
    models.iter().for_each(|model| cluster.platform_list.put(model, "models", "ready"));
    let _gateway = cluster.start(GATEWAY, true);
    wait_until("the gateway is ready", || cluster.is_ready(GATEWAY));
    cluster.turn(GATEWAY, "warm-up", None, "first ");
    let lost_before = lost_connections(cluster);
    let gateway = cluster.http(GATEWAY);
    let input = "x".repeat(INPUT_BYTES);
    let is_over = AtomicBool::new(false);
    let [long, short] = thread::scope(|scope| {
        let (is_over, input) = (&is_over, input.as_str());
        let send = |name: String, input: &'_ str| {
            let input = input.to_owned();
            scope.spawn(move || send_turns(gateway, &name, None, &input, is_over))
        };
        let long: Vec<_> =
            (0..LONG_CALLERS).map(|number| send(format!("long-{number}"), input)).collect();
        let short: Vec<_> =
            (0..SHORT_CALLERS).map(|number| send(format!("short-{number}"), "next ")).collect();
        thread::sleep(DURATION);
        is_over.store(true, Ordering::SeqCst);
        [long, short]
            .map(|callers| sum(callers.into_iter().map(|caller| caller.join().expect("a caller"))))
    });
    let lost = lost_connections(cluster) - lost_before;
    println!("long: {long:?}, short: {short:?}, {lost} connections to the ledger lost");
    assert!(lost <= MAX_LOST_CONNECTIONS, "{lost} connections to the ledger lost");
    assert!(short.served > 0, "no short turn was served");
    assert!(long.share() >= SERVED_SHARE * short.share(), "{long:?}, short: {short:?}");
}
