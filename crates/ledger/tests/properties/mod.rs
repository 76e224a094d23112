//! Configuration of property tests.

use proptest::test_runner::{Config, RngSeed};

/// Plays the same `cases` in every run.
pub fn fixed(cases: u32, seed: u64) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
