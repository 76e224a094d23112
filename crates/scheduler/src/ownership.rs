//! Rendezvous hashing: every gateway computes the same owner of an engine, and
//! when a gateway comes or goes only that gateway's engines move.

use calicohoist_types::{EngineId, NodeId};

/// The gateway that keeps `engine`'s queue.
pub fn owner_of<'a>(
    engine: &EngineId,
    nodes: impl IntoIterator<Item = &'a NodeId>,
) -> Option<&'a NodeId> {
    let weighed = nodes.into_iter().map(|node| (weight(engine, node), node));
    weighed.max().map(|(_, node)| node)
}

fn weight(engine: &EngineId, node: &NodeId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(engine.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
