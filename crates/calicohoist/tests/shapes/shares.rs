//! Shares of a core: processes that are paused for a part of each period.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::client::World;
use crate::fleet::{Node, Role};

/// Time in which a process runs and pauses once.
const PERIOD: Duration = Duration::from_millis(40);

/// Pauses the process of a machine for a part of each period until the run is over.
pub fn share_core(world: &World, node: &Arc<Node>) {
    let machines = match node.role {
        Role::Gateway => world.shape().gateways,
        Role::Ledger => world.shape().ledger,
    };
    let Some(share) = machines.core_share else { return };
    while !world.is_over() && !node.is_removed() {
        node.signal(Signal::STOP);
        thread::sleep(PERIOD.mul_f64(1.0 - share));
        node.signal(Signal::CONT);
        thread::sleep(PERIOD.mul_f64(share));
    }
}
