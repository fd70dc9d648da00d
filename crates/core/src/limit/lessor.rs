//! The home of a workspace, which leases out parts of its limit.

use std::{sync::Arc, time::Duration};

use super::{Ask, Config, Lease};
use crate::Time;

/// Leases out the limits of the workspaces whose home an entry is.
#[derive(Clone, Debug)]
pub struct Lessor {
    config: Config,
    /// Sorted by workspace.
    books: Vec<Book>,
}

#[derive(Clone, Debug)]
struct Book {
    workspace: Arc<str>,
    opened_at: Time,
    /// Sorted by process.
    parts: Vec<Part>,
}

#[derive(Clone, Debug)]
struct Part {
    process: Arc<str>,
    demand: f64,
    rate: f64,
    until: Time,
}

impl Lessor {
    /// Creates a lessor that has leased out nothing.
    pub fn new(config: Config) -> Lessor {
        Lessor {
            config,
            books: Vec::new(),
        }
    }

    /// Answers an ask with a part in proportion to demand, within what the leases
    /// of other entries leave.
    pub fn lease(&mut self, ask: &Ask, now: Time) -> Lease {
        let term = Duration::from_millis(self.config.lease_ms);
        let found = self
            .books
            .binary_search_by(|book| book.workspace.cmp(&ask.workspace));
        let at = found.unwrap_or_else(|at| {
            self.books.insert(at, Book::new(ask, now));
            at
        });
        let book = &mut self.books[at];
        book.expire(now);
        let others = book.parts.iter().filter(|part| part.process != ask.process);
        let (leased, wanted) = others.fold((0.0, 0.0), |(leased, wanted), part| {
            (leased + part.rate, wanted + part.demand)
        });
        let limit = ask.limit as f64;
        let demand = ask.demand.max(1.0);
        let steady = limit * (1.0 - self.config.reserve);
        let target = steady * demand / (wanted + demand);
        // A home that is new does not know yet what the others hold.
        let inherits = ask.held > 0.0 && !(book.opened_at + term).is_past(now);
        let target = if inherits {
            target.min(ask.held)
        } else {
            target
        };
        let rate = target.min(limit - leased).max(0.0);
        let until = now + term;
        book.set(Part {
            process: Arc::clone(&ask.process),
            demand,
            rate,
            until,
        });
        Lease {
            workspace: Arc::clone(&ask.workspace),
            rate,
            until,
        }
    }

    /// Returns the sum of the leases of a workspace, in tokens a second.
    pub fn leased(&self, workspace: &str, now: Time) -> f64 {
        let found = self
            .books
            .binary_search_by(|book| (*book.workspace).cmp(workspace));
        let parts = found.map_or(&[][..], |at| &self.books[at].parts);
        let held = parts.iter().filter(|part| !part.until.is_past(now));
        held.map(|part| part.rate).sum()
    }

    /// Forgets leases that have ended.
    pub fn expire(&mut self, now: Time) {
        for book in &mut self.books {
            book.expire(now);
        }
        self.books.retain(|book| !book.parts.is_empty());
    }
}

impl Book {
    fn new(ask: &Ask, now: Time) -> Book {
        Book {
            workspace: Arc::clone(&ask.workspace),
            opened_at: now,
            parts: Vec::new(),
        }
    }

    fn expire(&mut self, now: Time) {
        self.parts.retain(|part| !part.until.is_past(now));
    }

    fn set(&mut self, part: Part) {
        match self
            .parts
            .binary_search_by(|held| held.process.cmp(&part.process))
        {
            Ok(at) => self.parts[at] = part,
            Err(at) => self.parts.insert(at, part),
        }
    }
}
