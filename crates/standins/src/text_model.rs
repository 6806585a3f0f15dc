//! Deterministic text with chained digests, which detect wrong tokens.
//!
//! Each token is sent with a digest of the prompt and all tokens up to it. A client that recomputes
//! the digests detects lost, repeated and reordered tokens, and text spliced from two samplings.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 32] = [
    "the",
    "change",
    "keeps",
    "its",
    "public",
    "interface",
    "and",
    "no",
    "call",
    "site",
    "is",
    "affected",
    "by",
    "this",
    "version",
    "bump",
    "tests",
    "pass",
    "with",
    "both",
    "releases",
    "so",
    "a",
    "merge",
    "looks",
    "safe",
    "while",
    "notes",
    "list",
    "one",
    "fixed",
    "defect",
];

/// Returns the chained digest of a prompt without tokens.
pub fn chain_start(prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), 0)
}

/// Returns the chained digest after one more token.
pub fn chain_next(chain: u64, token: &str) -> u64 {
    xxh3_64_with_seed(token.as_bytes(), chain)
}

/// Returns the chained digest after all tokens of a text. Each token starts with a space.
///
/// ```
/// use camphorloft_standins::text_model::{chain_next, chain_of_text, chain_start};
/// let start = chain_start("p");
/// assert_eq!(chain_of_text(start, " a b"), chain_next(chain_next(start, " a"), " b"));
/// ```
pub fn chain_of_text(start: u64, text: &str) -> u64 {
    let tokens = text.split(' ').skip(1);
    tokens.fold(start, |chain, word| chain_next(chain, &format!(" {word}")))
}

/// Samples the token that follows the chained digest `chain`. Each `salt` selects a different
/// sampling.
pub fn sample(chain: u64, salt: u64) -> String {
    let draw = xxh3_64_with_seed(&chain.to_le_bytes(), salt);
    format!(" {}", WORDS[(draw % WORDS.len() as u64) as usize])
}
