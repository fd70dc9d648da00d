use super::Prefix;

/// A shared prefix and the number of runs that use it.
#[derive(Clone, Copy, Debug)]
struct Shared {
    hash: u64,
    tokens: u32,
    users: u32,
}

/// The shared prefixes of all runs, each of which the engine stores once.
#[derive(Clone, Debug, Default)]
pub(super) struct Prefixes {
    /// Sorted by hash.
    rows: Vec<Shared>,
    /// The sum of the lengths of all prefixes.
    tokens: u64,
}

impl Prefixes {
    pub(super) fn add(&mut self, prefix: Prefix) {
        match self.find(prefix.hash) {
            Ok(at) => self.rows[at].users += 1,
            Err(at) => {
                let shared = Shared {
                    hash: prefix.hash,
                    tokens: prefix.tokens,
                    users: 1,
                };
                self.rows.insert(at, shared);
                self.tokens += u64::from(prefix.tokens);
            }
        }
    }

    pub(super) fn remove(&mut self, hash: u64) {
        let Ok(at) = self.find(hash) else { return };
        self.rows[at].users -= 1;
        if self.rows[at].users == 0 {
            self.tokens -= u64::from(self.rows[at].tokens);
            self.rows.remove(at);
        }
    }

    /// Returns the memory of all prefixes, in tokens.
    pub(super) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the memory of all prefixes once `prefix` is added, in tokens.
    pub(super) fn with(&self, prefix: Option<Prefix>) -> u64 {
        let added = prefix
            .filter(|prefix| self.find(prefix.hash).is_err())
            .map_or(0, |prefix| u64::from(prefix.tokens));
        self.tokens + added
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&hash, |shared| shared.hash)
    }
}
