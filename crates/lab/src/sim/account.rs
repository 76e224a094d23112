//! What messages and steps cost each part of a simulated fleet.
//!
//! Bytes are those of the encoded frame as it would travel, without TCP and IP.
//! Busy time is real time spent in the product's own state machines and in the
//! encoding of what they send; sockets and the kernel are not in it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use calicohoist_wire::encode;

use super::frame::{Actor, Frame};

/// Stands for the variant of the frame's enumeration, which takes one byte.
const VARIANT: u8 = 0;
/// Bytes of length and checksum before each frame.
const FRAME_HEADER: u64 = 8;

/// Costs of one part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Frames sent and received.
    pub messages: u64,
    /// Bytes sent and received.
    pub bytes: u64,
    /// Time spent.
    pub busy: Duration,
}

/// Costs of all parts.
#[derive(Clone, Debug, Default)]
pub struct Account {
    costs: BTreeMap<Actor, Cost>,
    /// Time of the simulated network within the present step.
    network: Duration,
}

impl Account {
    /// Costs of one part.
    pub fn cost(&self, actor: Actor) -> Cost {
        self.costs.get(&actor).copied().unwrap_or_default()
    }

    /// Costs of the store machine with the most traffic.
    pub fn busiest_store(&self) -> Cost {
        let costs = self.costs.iter();
        let stores = costs.filter(|(actor, _)| matches!(actor, Actor::Store(_)));
        let busiest = stores.max_by_key(|(_, cost)| cost.bytes);
        busiest.map(|(_, cost)| *cost).unwrap_or_default()
    }

    pub(super) fn note_busy(&mut self, actor: Actor, busy: Duration) {
        let network = std::mem::take(&mut self.network);
        self.costs.entry(actor).or_default().busy += busy.saturating_sub(network);
    }

    /// Time that the simulation and not the product spent.
    pub(super) fn note_network(&mut self, time: Duration) {
        self.network += time;
    }

    pub(super) fn note_frame(&mut self, from: Actor, to: Actor, frame: &Frame) {
        let begin = Instant::now();
        let Some(bytes) = control_bytes(frame) else {
            return;
        };
        let encoding = begin.elapsed();
        for actor in [from, to] {
            let cost = self.costs.entry(actor).or_default();
            cost.messages += 1;
            cost.bytes += bytes;
            // Taking a frame apart costs about what putting it together does.
            cost.busy += encoding;
        }
    }
}

/// Bytes of a frame between the product's own processes; `None` for others.
fn control_bytes(frame: &Frame) -> Option<u64> {
    let encoded = match frame {
        Frame::StorePeer { from, messages } => encode(&(VARIANT, from, messages)),
        Frame::StoreRequest { id, request, .. } => encode(&(VARIANT, id, &**request)),
        Frame::StoreReply { id, reply, .. } => encode(&(VARIANT, id, reply)),
        Frame::GatewayPeer { message, .. } => encode(message),
        _ => return None,
    };
    Some(encoded.ok()?.len() as u64 + FRAME_HEADER)
}
