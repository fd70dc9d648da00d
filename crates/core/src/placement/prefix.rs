//! Hashes of the leading blocks of a prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of one block of text, in bytes.
pub const BLOCK_BYTES: usize = 256;

/// Maximum leading blocks that are hashed per prompt.
pub const MAX_PREFIXES: usize = 32;

/// Returns the hashes of a prompt's leading whole blocks, shortest prefix first.
///
/// Each hash covers the prompt from its start to the end of a block, so two prompts
/// share as many leading hashes as leading blocks.
///
/// # Examples
///
/// ```
/// use cactusroad_core::placement::prefix_hashes;
///
/// let one = prefix_hashes(&("x".repeat(600) + "one"));
/// let two = prefix_hashes(&("x".repeat(600) + "two"));
/// assert_eq!(one.len(), 2);
/// assert_eq!(one, two);
/// ```
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIXES)
        .scan(0, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}
