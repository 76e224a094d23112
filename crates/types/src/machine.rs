//! Entries of the platform's machine list.

use serde::{Deserialize, Serialize};

/// Whether a machine accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// Scheduled for removal; gets no new work.
    Leaving,
}

/// Entry of the platform's machine list. The list may be stale.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// Name of the back end on the machine.
    pub name: String,
    /// State of the machine.
    pub state: MachineState,
}
