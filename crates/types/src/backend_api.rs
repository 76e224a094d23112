//! JSON types of the back ends' endpoints that are not part of the OpenAI API.

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, ModelId, ProgramId};

/// Response to `GET /v1/load` of an engine. The values may be stale.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Cache blocks in use.
    pub used_blocks: u64,
    /// Total number of cache blocks.
    pub total_blocks: u64,
    /// Whether the engine is shutting down and accepts no new requests.
    pub leaving: bool,
}

/// Response to `GET /v1/cache` of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheListing {
    /// Programs in the cache.
    pub programs: Vec<CachedProgram>,
}

/// One program in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedProgram {
    /// Program that owns the cached tokens.
    pub program: ProgramId,
    /// Number of cached tokens.
    pub tokens: u64,
}

/// Response to `DELETE /v1/cache/{program}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheReleased {
    /// Number of tokens freed.
    pub tokens: u64,
}

/// Cache event of an engine. Delivery is delayed and not guaranteed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Consecutive event number; a gap means that events were lost.
    pub number: u64,
    /// Program whose cached tokens changed.
    pub program: ProgramId,
    /// Number of cached tokens after the change.
    pub tokens: u64,
}

/// Cached history exported from one engine for import into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedCache {
    /// Program that owns the history.
    pub program: ProgramId,
    /// Chained hashes of the cache blocks.
    pub blocks: Vec<u64>,
    /// Transfer time at the link's bandwidth, in microseconds.
    pub transfer_micros: u64,
}

/// Body of `POST /v1/orders` of an engine: a command that is executed only if its epoch and
/// sequence number are newer than those of all earlier commands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Epoch of the sender.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub sequence: u64,
    /// Command to execute.
    pub order: EngineCommand,
}

/// Command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineCommand {
    /// Replaces the loaded model.
    LoadModel {
        /// Model to load.
        model: ModelId,
        /// Version of the model.
        version: String,
    },
    /// Loads an adapter for the loaded model.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Changes the role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
    /// Stops accepting new requests.
    Leave,
}

/// Inference phases that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill (prompt processing) only.
    Prefill,
    /// Decode (token generation) only.
    Decode,
}

/// Response to [`FencedCommand`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandReply {
    /// Whether the command was newer than all earlier ones and is executed.
    pub accepted: bool,
    /// Highest epoch seen.
    pub epoch: u64,
    /// Highest sequence number seen in that epoch.
    pub sequence: u64,
}

/// Body of `POST /v1/jobs` of a tool service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Idempotency key of the job.
    pub key: String,
    /// Name of the service.
    pub service: String,
    /// Input of the job.
    pub input: String,
}

/// Response to [`JobRequest`], and to `GET /v1/jobs/{key}` with `/` in the key replaced by `:`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// Idempotency key of the job.
    pub key: String,
    /// Output of the service.
    pub output: String,
}

/// Body of `POST /v1/transfers` of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferRequest {
    /// Engine that loads the weights.
    pub engine: EngineId,
    /// Model whose weights are loaded.
    pub model: ModelId,
}

/// Response to [`TransferRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferReply {
    /// Microseconds until the weights have arrived, including the wait for other transfers.
    pub ready_in_micros: u64,
}
