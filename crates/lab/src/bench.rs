//! Benchmarks.
