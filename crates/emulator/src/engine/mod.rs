//! A model engine: continuous batching over a prefix cache of limited memory.

pub mod cache;
pub mod model;
pub mod record;
pub mod server;
pub mod streams;
