use cactusroad_core::Time;

/// A block of a shared prefix.
#[derive(Clone, Debug)]
struct Block {
    hash: u64,
    references: u32,
    /// The position of the block in its prefix, from 0.
    depth: u32,
    used_at: Time,
}

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Change {
    /// The hash of the prefix.
    pub(super) prefix: u64,
    /// Whether it was added; otherwise it was evicted.
    pub(super) added: bool,
}

/// The memory blocks of an engine: private, shared and cached ones.
///
/// Shared blocks that no generation references stay cached until their space is
/// needed. The least recently used blocks are evicted first, and among these the
/// deepest.
#[derive(Clone, Debug, Default)]
pub(super) struct Memory {
    total: u32,
    /// Private blocks in use.
    private: u32,
    /// Shared blocks with at least one reference.
    referenced: u32,
    /// The blocks of shared prefixes, referenced or cached, sorted by hash.
    shared: Vec<Block>,
    changes: Vec<Change>,
}

/// An eviction removes at least the cached blocks divided by this number.
const EVICTION_DIVISOR: usize = 16;

impl Memory {
    pub(super) fn new(total: u32) -> Memory {
        Memory {
            total,
            ..Memory::default()
        }
    }

    /// Sets the total number of blocks, which may be less than the number in use.
    pub(super) fn resize(&mut self, total: u32) {
        self.total = total;
        self.evict(0);
    }

    /// Returns the total number of blocks.
    pub(super) const fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of blocks that running generations use.
    pub(super) const fn used(&self) -> u32 {
        self.private + self.referenced
    }

    /// Returns the number of blocks that are free or can be evicted.
    pub(super) const fn available(&self) -> u32 {
        self.total.saturating_sub(self.used())
    }

    /// Returns how many leading blocks of `prefixes` are in memory.
    pub(super) fn cached_prefix_blocks(&self, prefixes: &[u64]) -> u32 {
        let cached = prefixes
            .iter()
            .take_while(|&&hash| self.find(hash).is_ok())
            .count();
        cached as u32
    }

    /// Returns how many blocks of `prefixes` a new reference would add to those in use.
    pub(super) fn unreferenced(&self, prefixes: &[u64]) -> u32 {
        let count = prefixes
            .iter()
            .filter(|&&hash| {
                self.find(hash)
                    .map_or(true, |at| self.shared[at].references == 0)
            })
            .count();
        count as u32
    }

    /// Allocates private blocks, or returns `false` if too few are available.
    pub(super) fn allocate(&mut self, count: u32) -> bool {
        if self.available() < count {
            return false;
        }
        self.evict(count);
        self.private += count;
        true
    }

    /// Frees private blocks.
    pub(super) fn free(&mut self, count: u32) {
        self.private -= count;
    }

    /// Adds a reference to the blocks of a prefix. The caller must check that they fit.
    pub(super) fn reference(&mut self, now: Time, prefixes: &[u64]) {
        for (depth, &hash) in prefixes.iter().enumerate() {
            match self.find(hash) {
                Ok(at) => {
                    let block = &mut self.shared[at];
                    self.referenced += u32::from(block.references == 0);
                    block.references += 1;
                    block.used_at = now;
                }
                Err(_) => self.add(now, hash, depth as u32),
            }
        }
    }

    /// Drops a reference to the blocks of a prefix, which stay cached.
    pub(super) fn release(&mut self, now: Time, prefixes: &[u64]) {
        for &hash in prefixes {
            if let Ok(at) = self.find(hash) {
                let block = &mut self.shared[at];
                block.references -= 1;
                block.used_at = now;
                self.referenced -= u32::from(block.references == 0);
            }
        }
    }

    /// Moves the changes since the last call to `changes`.
    pub(super) fn drain_changes(&mut self, changes: &mut Vec<Change>) {
        changes.append(&mut self.changes);
    }

    fn find(&self, hash: u64) -> Result<usize, usize> {
        self.shared.binary_search_by_key(&hash, |block| block.hash)
    }

    fn add(&mut self, now: Time, hash: u64, depth: u32) {
        self.evict(1);
        let block = Block {
            hash,
            references: 1,
            depth,
            used_at: now,
        };
        let at = self.find(hash).unwrap_or_else(|at| at);
        self.shared.insert(at, block);
        self.referenced += 1;
        self.changes.push(Change {
            prefix: hash,
            added: true,
        });
    }

    /// Evicts cached blocks until `count` blocks are free or no cached block is left.
    fn evict(&mut self, count: u32) {
        let cached = self.shared.len() - self.referenced as usize;
        let occupied = u64::from(self.used()) + cached as u64 + u64::from(count);
        let excess = occupied.saturating_sub(u64::from(self.total)) as usize;
        if excess == 0 || cached == 0 {
            return;
        }
        let quota = excess.max(cached / EVICTION_DIVISOR).min(cached);
        let mut oldest: Vec<(Time, u32, u64)> = self
            .shared
            .iter()
            .filter(|block| block.references == 0)
            .map(|block| (block.used_at, u32::MAX - block.depth, block.hash))
            .collect();
        oldest.sort_unstable();
        let mut victims: Vec<u64> = oldest[..quota].iter().map(|&(_, _, hash)| hash).collect();
        victims.sort_unstable();
        self.shared
            .retain(|block| victims.binary_search(&block.hash).is_err());
        self.changes
            .extend(victims.into_iter().map(|prefix| Change {
                prefix,
                added: false,
            }));
    }
}
