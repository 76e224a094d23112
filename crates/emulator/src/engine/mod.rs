//! Emulated inference engine: continuous batching with a bounded prefix cache.

pub mod cache;
pub mod model;
pub mod record;
pub mod server;
pub mod streams;
