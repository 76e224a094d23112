//! Version of a gateway's connection to a machine that closed an earlier one while it started.
//!
//! Guards against a gateway that takes the machine for one of a legacy build for as long as the
//! connection lasts: it receives no crash records, and lists without incarnations.

mod support;

use std::time::{Duration, Instant};

use calicohoist_ledger::client::{ClientTiming, LedgerClient};
use calicohoist_ledger::protocol::{
    LATEST_VERSION, LedgerRequest, LedgerResponse, RequestEnvelope, ResponseEnvelope,
    SUPPORTED_VERSIONS, WatchRequest,
};
use calicohoist_ledger::server::machine_number;
use calicohoist_transport::version::accept_offer;
use calicohoist_transport::{FrameReader, ProtocolVersion, QueuedBytes, spawn_writer};
use support::{LOCAL, TEST_TIMEOUT};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Number of requests, of which the last one finds a connection of the latest version.
const REQUESTS: usize = 3;

/// Closes the first connection in order after the offer, as a forwarder does whose target is
/// starting, and serves the others as leader.
async fn run_starting_machine(listener: TcpListener) {
    let (mut first, _) = listener.accept().await.expect("accept");
    let mut offer = [0; 64];
    assert!(first.read(&mut offer).await.expect("read the offer") > 0);
    drop(first);
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_as_leader(stream));
    }
}

async fn serve_as_leader(stream: TcpStream) {
    let (input, mut output) = stream.into_split();
    let mut frames = FrameReader::new(input);
    let Ok(version) = accept_offer(&mut frames, &mut output, SUPPORTED_VERSIONS).await else {
        return;
    };
    let replies = spawn_writer(output, QueuedBytes::default());
    while let Ok(request) = RequestEnvelope::read(&mut frames, version).await {
        let machines = vec![machine_number(LOCAL)];
        let answer = match request.question {
            LedgerRequest::FindLeader => LedgerResponse::Leads { machines },
            _ => LedgerResponse::Noted,
        };
        let response = ResponseEnvelope { number: request.number, answer };
        replies.send(response.encode(version).expect("encode"));
    }
}

#[tokio::test]
async fn machine_that_was_starting_is_offered_the_versions_again() {
    let listener = TcpListener::bind((LOCAL, 0)).await.expect("bind");
    let port = listener.local_addr().expect("local address").port();
    tokio::spawn(run_starting_machine(listener));
    let timing = ClientTiming { legacy_connection_ttl: Duration::ZERO, ..ClientTiming::default() };
    let client = LedgerClient::with_timing(&[LOCAL], port, timing);
    let watch = LedgerRequest::Watch(WatchRequest::default());
    let mut versions: Vec<ProtocolVersion> = Vec::new();
    for _ in 0..REQUESTS {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let answer = client.request_versioned(&watch, deadline).await.expect("an answer");
        versions.push(answer.version);
    }
    assert_eq!(versions.last(), Some(&LATEST_VERSION), "{versions:?}");
}
