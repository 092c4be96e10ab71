//! Weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `upstream` for `adapter`; the upstreams with the highest scores are the candidates.
///
/// With weights w, an upstream has the highest score for w / sum(w) of all adapters, and changing one
/// weight moves the minimum number of adapters.
pub(super) fn score(adapter: &str, upstream: &str, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(
        upstream.as_bytes(),
        xxh3_64_with_seed(adapter.as_bytes(), 0),
    );
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}
