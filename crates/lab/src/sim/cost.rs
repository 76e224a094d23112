//! Traffic and processing time of each node of a simulated fleet.
//!
//! Bytes are the sizes of encoded frames without TCP and IP headers. Busy time is wall-clock time
//! spent in the state machines and in encoding; it excludes sockets and the kernel.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use calicohoist_wire::encode;

use super::frame::{Actor, Frame};

/// Placeholder for the one-byte enum tag of an encoded frame.
const ENUM_TAG: u8 = 0;
/// Size of the length and checksum fields before each frame.
const FRAME_HEADER_BYTES: u64 = 8;

/// Traffic and processing time of one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Number of frames sent and received.
    pub messages: u64,
    /// Number of bytes sent and received.
    pub bytes: u64,
    /// Wall-clock time spent processing.
    pub busy: Duration,
}

/// Costs recorded per node.
#[derive(Clone, Debug, Default)]
pub struct CostTracker {
    costs: BTreeMap<Actor, Cost>,
    /// Time spent in the simulated network during the current step, excluded from busy time.
    network_time: Duration,
}

impl CostTracker {
    /// Returns the costs of one node.
    pub fn cost(&self, actor: Actor) -> Cost {
        self.costs.get(&actor).copied().unwrap_or_default()
    }

    /// Returns the costs of the store machine with the most traffic.
    pub fn busiest_store(&self) -> Cost {
        let costs = self.costs.iter();
        let stores = costs.filter(|(actor, _)| matches!(actor, Actor::Store(_)));
        let busiest = stores.max_by_key(|(_, cost)| cost.bytes);
        busiest.map(|(_, cost)| *cost).unwrap_or_default()
    }

    pub(super) fn record_busy(&mut self, actor: Actor, busy: Duration) {
        let network_time = std::mem::take(&mut self.network_time);
        self.costs.entry(actor).or_default().busy += busy.saturating_sub(network_time);
    }

    /// Records time spent in the simulated network.
    pub(super) fn record_network(&mut self, time: Duration) {
        self.network_time += time;
    }

    pub(super) fn record_frame(&mut self, from: Actor, to: Actor, frame: &Frame) {
        let begin = Instant::now();
        let Some(bytes) = control_frame_bytes(frame) else {
            return;
        };
        let encoding = begin.elapsed();
        for actor in [from, to] {
            let cost = self.costs.entry(actor).or_default();
            cost.messages += 1;
            cost.bytes += bytes;
            // Decoding is assumed to take as long as encoding.
            cost.busy += encoding;
        }
    }
}

/// Returns the encoded size of a frame between gateways and store machines, `None` for others.
fn control_frame_bytes(frame: &Frame) -> Option<u64> {
    let encoded = match frame {
        Frame::StorePeer { from, messages } => encode(&(ENUM_TAG, from, messages)),
        Frame::StoreRequest { id, request, .. } => encode(&(ENUM_TAG, id, &**request)),
        Frame::StoreReply { id, reply, .. } => encode(&(ENUM_TAG, id, reply)),
        Frame::GatewayPeer { message, .. } => encode(message),
        _ => return None,
    };
    Some(encoded.ok()?.len() as u64 + FRAME_HEADER_BYTES)
}
