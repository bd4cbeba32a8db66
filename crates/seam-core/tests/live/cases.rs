//! Numbers and seeds of random histories.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns the settings for the fixed histories of CI, or those of `PROPTEST_CASES` and
/// `PROPTEST_RNG_SEED` if the first one is set.
pub fn proptest_config(cases: u32, seed: RngSeed) -> ProptestConfig {
    let env_config = ProptestConfig::default();
    let from_env = std::env::var_os("PROPTEST_CASES").is_some();
    ProptestConfig {
        cases: if from_env { env_config.cases } else { cases },
        rng_seed: if from_env { env_config.rng_seed } else { seed },
        failure_persistence: None,
        ..env_config
    }
}
