//! Rendezvous hashing of engines to gateways. Every gateway computes the same owner of an engine,
//! and only the engines of a gateway that joins or leaves are reassigned.

use calicohoist_types::{EngineId, NodeId};

/// Returns the gateway that owns the queue of `engine`.
pub fn owner_of<'a>(
    engine: &EngineId,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let weighted = nodes.into_iter().map(|node| (weight(engine, node), node));
    weighted.max().map(|(_, node)| node)
}

fn weight(engine: &EngineId, node: &NodeId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(engine.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
