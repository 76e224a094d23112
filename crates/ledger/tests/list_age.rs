//! Age of the replica list, as a leader tells it to a gateway.
//!
//! Guards against a gateway that takes an old list for a recent one while the new one is on its way:
//! it would go on sending to replicas that have left.

mod support;

use std::sync::Arc;
use std::time::Instant;

use calicohoist_ledger::protocol::{
    LedgerRequest, LedgerResponse, ListDigest, TermVersion, WatchRequest,
};
use calicohoist_ledger::server::list::DiscoverySnapshot;
use calicohoist_routing::{Replica, ReplicaList, ReplicaState};
use support::{GatewayConnection, MachineWithPeer};

fn replicas() -> Vec<Replica> {
    vec![Replica {
        id: "r1".to_owned(),
        service: "models".to_owned(),
        address: "127.0.0.1:80".parse().expect("valid address"),
        zone: "hall".to_owned(),
        slots: 4,
        state: ReplicaState::Ready,
        version: None,
    }]
}

/// Returns the age that a leader with a recent list tells a gateway which has `list`.
async fn told_age(list: ListDigest) -> Option<u64> {
    let mut machine = MachineWithPeer::start();
    machine.run_peer_until_leader().await;
    let term = machine.standing.borrow().term;
    let mark = ListDigest::of(&replicas());
    let snapshot = DiscoverySnapshot {
        mark,
        term,
        list: Arc::new(ReplicaList { version: 1, replicas: replicas() }),
        read_at: Some(Instant::now()),
        // Sent before the list, so that the answer is a status.
        cold_mark: TermVersion { term, change: 1 },
        ..DiscoverySnapshot::default()
    };
    let address = machine.serve_gateways_with(snapshot).await;
    let mut gateway = GatewayConnection::connect(address).await;
    let watch = WatchRequest { list, drained: Some(0), ..WatchRequest::default() };
    gateway.send(LedgerRequest::Watch(watch)).await;
    match machine.run_peer_while(gateway.receive()).await {
        LedgerResponse::Update(update) => update.list_age_ms,
        other => panic!("unexpected answer: {other:?}"),
    }
}

#[tokio::test]
async fn the_age_is_told_to_a_gateway_that_has_the_list() {
    assert!(told_age(ListDigest::of(&replicas())).await.is_some());
}

#[tokio::test]
async fn no_age_is_told_to_a_gateway_that_has_another_list() {
    assert_eq!(told_age(ListDigest::of(&[])).await, None);
}
