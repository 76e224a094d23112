//! What the platform's list of machines says of one machine.

use serde::{Deserialize, Serialize};

/// Whether a machine may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// Announced to go: no new work.
    Leaving,
}

/// One row of the platform's list. The list lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineStatus {
    /// Name of the back end on the machine.
    pub name: String,
    /// Its state.
    pub state: MachineState,
}
