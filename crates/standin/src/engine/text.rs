//! The answer to a prompt, which follows from the prompt alone.
//!
//! A test computes the whole answer by [`tokens`] and compares it with what a
//! caller was given, so that a lost, doubled or foreign token shows. Each token
//! is a word that the prompt and the index choose.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of tokens where neither the prompt nor its limit says less.
pub const DEFAULT_TOKENS: u64 = 64;

const LENGTH_MARKER: &str = "[len=";

const WORDS: [&str; 32] = [
    "amber", "basil", "cedar", "delta", "ember", "fjord", "grove", "heron", "inlet", "jetty",
    "kelp", "lilac", "maple", "north", "olive", "pearl", "quartz", "ridge", "slate", "thyme",
    "umber", "vale", "willow", "xenon", "yarrow", "zephyr", "acorn", "birch", "coral", "dune",
    "elm", "fern",
];

/// Returns the token of a prompt at an index, with the space before it.
pub fn token(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!(" {word}")
}

/// Returns how many tokens a prompt asks for: `[len=N]` in its text, or [`DEFAULT_TOKENS`].
pub fn length(prompt: &str) -> u64 {
    let marked = prompt.split_once(LENGTH_MARKER);
    let digits = marked.and_then(|(_, rest)| rest.split_once(']'));
    digits
        .and_then(|(digits, _)| digits.parse().ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Returns all tokens of the answer to a prompt, cut at `max_tokens`.
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
