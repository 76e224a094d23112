//! JSON shapes of the back ends' own endpoints, beside the OpenAI shapes.

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, ModelId, ProgramId};

/// `GET /v1/load` of an engine. The figures lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Cache blocks in use.
    pub used_blocks: u64,
    /// Cache blocks in all.
    pub total_blocks: u64,
    /// The engine takes no new work.
    pub leaving: bool,
}

/// `GET /v1/cache` of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheListing {
    /// Programs with the tokens held for each.
    pub programs: Vec<CachedProgram>,
}

/// One program in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedProgram {
    /// The program.
    pub program: ProgramId,
    /// Tokens held for it.
    pub tokens: u64,
}

/// Answer to `DELETE /v1/cache/{program}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReleased {
    /// Tokens freed.
    pub tokens: u64,
}

/// One cache event of an engine. Events come late, and some never come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Numbers the events; a missing number is a lost event.
    pub number: u64,
    /// The program.
    pub program: ProgramId,
    /// Tokens held for it now.
    pub tokens: u64,
}

/// A history taken out of an engine, to be put into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedCache {
    /// The program.
    pub program: ProgramId,
    /// Chained hashes of its blocks.
    pub blocks: Vec<u64>,
    /// Microseconds that the transfer takes at the link's bandwidth.
    pub transfer_micros: u64,
}

/// `POST /v1/orders` of an engine: obeyed only when newer than all before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Epoch of the controller.
    pub epoch: u64,
    /// Number of the order in that epoch.
    pub sequence: u64,
    /// What to do.
    pub order: EngineInstruction,
}

/// What an engine may be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineInstruction {
    /// Load a version of a model in place of the present one.
    LoadModel {
        /// The model.
        model: ModelId,
        /// Its version.
        version: String,
    },
    /// Load an adapter beside the model.
    LoadAdapter {
        /// The adapter.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: EngineRole,
    },
    /// Take no new work from now on.
    Leave,
}

/// What part of the work an engine does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and generation.
    #[default]
    Both,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}

/// Answer to [`FencedOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether it was newer than all before, and is obeyed.
    pub accepted: bool,
    /// Highest epoch seen.
    pub epoch: u64,
    /// Highest number seen in that epoch.
    pub sequence: u64,
}

/// `POST /v1/jobs` of a tool service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// The key under which the job is counted.
    pub key: String,
    /// The service.
    pub service: String,
    /// Input.
    pub input: String,
}

/// Answer to [`JobRequest`], and to `GET /v1/jobs/{key}` where the slashes of
/// the key are written as `:`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// The key.
    pub key: String,
    /// What the service says.
    pub output: String,
}

/// `POST /v1/transfers` of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// The engine that loads.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
}

/// Answer to [`TransferRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferReply {
    /// Microseconds until the weights have arrived, waiting for other transfers included.
    pub ready_in_micros: u64,
}
