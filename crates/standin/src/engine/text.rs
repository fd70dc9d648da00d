//! The generated text, a pure function of the prompt.
//!
//! Each token is a word selected by a hash of the prompt and the index. A test
//! computes the expected text with [`tokens`] and compares it with what the caller
//! received, which detects tokens that are lost, duplicated or from another prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of tokens for a prompt without a `[len=N]` marker.
pub const DEFAULT_TOKENS: u64 = 64;

const LENGTH_MARKER: &str = "[len=";

const WORDS: [&str; 32] = [
    "amber", "basil", "cedar", "delta", "ember", "fjord", "grove", "heron", "inlet", "jetty",
    "kelp", "lilac", "maple", "north", "olive", "pearl", "quartz", "ridge", "slate", "thyme",
    "umber", "vale", "willow", "xenon", "yarrow", "zephyr", "acorn", "birch", "coral", "dune",
    "elm", "fern",
];

/// Returns the token of a prompt at an index, with a leading space.
pub fn token(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!(" {word}")
}

/// Returns the number of tokens that a prompt requests: the `N` of a `[len=N]` marker in its
/// text, or [`DEFAULT_TOKENS`].
pub fn length(prompt: &str) -> u64 {
    let marked = prompt.split_once(LENGTH_MARKER);
    let digits = marked.and_then(|(_, rest)| rest.split_once(']'));
    digits
        .and_then(|(digits, _)| digits.parse().ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Returns all tokens generated for a prompt, at most `max_tokens`.
///
/// # Examples
///
/// ```
/// use cactusroad_standin::engine::text;
///
/// let tokens = text::tokens("three words, please [len=3]", 100);
/// assert_eq!(tokens.len(), 3);
/// assert_eq!(tokens[1], text::token("three words, please [len=3]", 1));
/// ```
pub fn tokens(prompt: &str, max_tokens: u32) -> Vec<String> {
    let count = length(prompt).min(u64::from(max_tokens));
    (0..count).map(|index| token(prompt, index)).collect()
}
