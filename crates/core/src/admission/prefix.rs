//! The memory of prompt prefixes that several runs share.

use super::Prefix;

/// A shared prefix and the number of runs that use it.
#[derive(Clone, Copy, Debug)]
struct Entry {
    hash: u64,
    tokens: u32,
    users: u32,
}

/// The shared prefixes of all runs, each of which the engine stores once.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefixes {
    /// Sorted by hash.
    entries: Vec<Entry>,
    /// The sum of the lengths of all prefixes.
    tokens: u64,
}

impl Prefixes {
    pub(super) fn add(&mut self, prefix: Prefix) {
        match self.find(prefix.hash) {
            Ok(index) => self.entries[index].users += 1,
            Err(index) => {
                let entry = Entry {
                    hash: prefix.hash,
                    tokens: prefix.tokens,
                    users: 1,
                };
                self.entries.insert(index, entry);
                self.tokens += u64::from(prefix.tokens);
            }
        }
    }

    pub(super) fn remove(&mut self, hash: u64) {
        let Ok(index) = self.find(hash) else { return };
        self.entries[index].users -= 1;
        if self.entries[index].users == 0 {
            self.tokens -= u64::from(self.entries[index].tokens);
            self.entries.remove(index);
        }
    }

    /// Returns the memory of all prefixes, in tokens.
    pub(super) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the memory of all prefixes once `prefix` is added, in tokens.
    pub(super) fn tokens_with(&self, prefix: Option<Prefix>) -> u64 {
        let added = prefix
            .filter(|prefix| self.find(prefix.hash).is_err())
            .map_or(0, |prefix| u64::from(prefix.tokens));
        self.tokens + added
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&hash, |entry| entry.hash)
    }
}
