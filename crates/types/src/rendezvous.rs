//! Highest-random-weight (rendezvous) hashing.
//!
//! Hosts with the same set of candidates compute the same ranking without exchanging messages. When
//! a candidate joins or leaves, only the keys for which it ranks highest are reassigned.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `candidate` for `key`. The highest score wins.
pub fn score(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns the positions of the `count` candidates with the highest scores for `key`, best first.
///
/// ```
/// use camphorloft_types::rendezvous::rank;
/// let hosts = ["h1", "h2", "h3"];
/// let two = rank("engine-7", hosts.iter().copied(), 2);
/// assert_eq!(two.len(), 2);
/// assert_eq!(two, rank("engine-7", hosts.iter().copied(), 2));
/// ```
pub fn rank<'a, Candidates>(key: &str, candidates: Candidates, count: usize) -> Vec<usize>
where
    Candidates: IntoIterator<Item = &'a str>,
{
    let mut scored: Vec<(u64, usize)> =
        candidates.into_iter().enumerate().map(|(ix, c)| (score(key, c), ix)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.truncate(count);
    scored.into_iter().map(|(_, ix)| ix).collect()
}
