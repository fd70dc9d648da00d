//! The queue itself.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    Config, Entry, Pushed, Reason, Rejected, Ticket,
    account::{self, Account},
    pace::Pace,
};
use crate::Time;

#[derive(Clone, Debug)]
struct Waiting<T> {
    entry: Entry<T>,
    /// When it leaves the queue unserved.
    until: Time,
}

/// Requests of one priority that wait.
#[derive(Clone, Copy, Debug)]
struct Level {
    priority: u8,
    queued: usize,
    lanes: usize,
}

/// The bounded queue of one endpoint.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    config: Config,
    next: u64,
    floor: u64,
    waiting: BTreeMap<Ticket, Waiting<T>>,
    accounts: BTreeMap<Arc<str>, Account>,
    /// Lanes in the order in which they are served.
    order: BTreeSet<(Reverse<u8>, u64, Arc<str>)>,
    /// Lanes such that the last is shed first.
    excess: BTreeSet<(Reverse<u8>, u64, Arc<str>)>,
    deadlines: BTreeSet<(Time, Ticket)>,
    /// Accounts that neither wait nor run, by counter.
    idle: BTreeSet<(u64, Arc<str>)>,
    /// Sorted by priority, the highest first.
    levels: Vec<Level>,
    pace: Pace,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(config: Config) -> Queue<T> {
        Queue {
            config,
            next: 0,
            floor: 0,
            waiting: BTreeMap::new(),
            accounts: BTreeMap::new(),
            order: BTreeSet::new(),
            excess: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            idle: BTreeSet::new(),
            levels: Vec::new(),
            pace: Pace::default(),
        }
    }

    /// Takes a request in, if need be in place of another one.
    ///
    /// # Errors
    ///
    /// Gives the request back where it would wait in vain or where those that
    /// wait go first.
    pub fn push(&mut self, entry: Entry<T>, now: Time) -> Result<Pushed<T>, Rejected<T>> {
        if entry.deadline.is_past(now) {
            let retry_at = now;
            return Err(Rejected {
                entry,
                reason: Reason::Deadline,
                retry_at,
            });
        }
        let until = entry
            .deadline
            .min(now + Duration::from_millis(self.config.max_wait_ms));
        let start = now + self.wait(&entry.workspace, entry.priority, now);
        if start > until {
            return Err(Rejected {
                entry,
                reason: Reason::Wait,
                retry_at: start,
            });
        }
        let ticket = self.insert(entry, until);
        let mut shed = None;
        if self.waiting.len() > self.config.capacity {
            let victim = self.victim();
            let entry = self.take(victim).expect("the victim waits");
            self.settle(&entry.workspace);
            if victim == ticket {
                return Err(Rejected {
                    entry,
                    reason: Reason::Full,
                    retry_at: start.max(now + self.pace.interval(now)),
                });
            }
            shed = Some(entry);
        }
        self.pace.waits(now);
        Ok(Pushed { ticket, shed })
    }

    /// Returns the request that goes next.
    ///
    /// It may be past its deadline; [`Queue::expire`] drops those first.
    pub fn peek(&self) -> Option<&Entry<T>> {
        let ticket = self.first()?;
        self.waiting.get(&ticket).map(|waiting| &waiting.entry)
    }

    /// Takes out the request that goes next and charges its prompt.
    ///
    /// The workspace counts as running until [`Queue::finish`]. Returns `None` as
    /// long as requests past their deadline are held: [`Queue::expire`] hands
    /// those out first, and a late request is never dispatched.
    pub fn pop(&mut self, now: Time) -> Option<Entry<T>> {
        debug_assert!(self.waiting.len() <= self.config.capacity);
        if self
            .deadlines
            .first()
            .is_some_and(|(until, _)| until.is_past(now))
        {
            return None;
        }
        let ticket = self.first()?;
        let entry = self.take(ticket)?;
        self.pace.dispatched(now, self.waiting.is_empty());
        let account = self.accounts.get_mut(&entry.workspace)?;
        account.running += 1;
        self.floor = self.floor.max(account.counter);
        self.charge(&entry.workspace, entry.tokens);
        self.forget();
        Some(entry)
    }

    /// Takes out the requests that waited as long as they could; refuse each as
    /// not run.
    pub fn expire(&mut self, now: Time) -> Vec<Entry<T>> {
        let mut expired = Vec::new();
        while let Some(&(until, ticket)) = self.deadlines.first() {
            if !until.is_past(now) {
                break;
            }
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// Takes out a request whose caller is gone.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.take(ticket)?;
        self.settle(&entry.workspace);
        if self.waiting.is_empty() {
            self.pace.emptied();
        }
        Some(entry)
    }

    /// Counts a request that did not wait as running, and charges its prompt.
    pub fn start(&mut self, workspace: &Arc<str>, weight: u32, tokens: u64) {
        self.account(workspace, weight).running += 1;
        self.charge(workspace, tokens);
    }

    /// Charges a workspace for tokens that were generated.
    pub fn charge(&mut self, workspace: &str, tokens: u64) {
        let Some((name, account)) = self.accounts.get_key_value(workspace) else {
            return;
        };
        let name = Arc::clone(name);
        let cost = account::cost(tokens, account.weight);
        self.reindex(&name, |account| {
            account.counter = account.counter.saturating_add(cost);
        });
    }

    /// Notes that a running request of a workspace ended.
    pub fn finish(&mut self, workspace: &str) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.running = account.running.saturating_sub(1);
        }
        self.settle(workspace);
    }

    /// Returns how long a request would wait if it came now.
    ///
    /// The estimate takes the pace of late. Workspaces that were served less go
    /// first, and the workspaces of one priority take turns.
    pub fn wait(&self, workspace: &str, priority: u8, now: Time) -> Duration {
        let higher = self.levels.iter().filter(|level| level.priority > priority);
        let mut ahead: usize = higher.map(|level| level.queued).sum();
        let level = self.levels.iter().find(|level| level.priority == priority);
        if let Some(level) = level.filter(|level| level.queued > 0) {
            let account = self.accounts.get(workspace);
            let lane = account.and_then(|account| account.lane(priority));
            let own = lane.map_or(0, |lane| lane.waiting.len());
            let others = level.lanes - usize::from(lane.is_some());
            let before = self.lanes_before(account, priority).min(others);
            ahead += (own + before + own * others).min(level.queued);
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.pace.interval(now).saturating_mul(ahead)
    }

    /// Counts the lanes of a priority that were served less than an account,
    /// which takes as many steps as there are.
    fn lanes_before(&self, account: Option<&Account>, priority: u8) -> usize {
        let counter = account.map_or(self.floor, |account| {
            let debt = account::cost(self.config.max_debt_tokens, account.weight);
            account
                .counter
                .clamp(self.floor, self.floor.saturating_add(debt))
        });
        let lanes = self.order.iter();
        lanes
            .skip_while(|(Reverse(other), ..)| *other > priority)
            .take_while(|(Reverse(other), served, _)| *other == priority && *served < counter)
            .count()
    }

    /// Returns when the next request has waited as long as it can.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(until, _)| until)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of workspaces held.
    pub fn workspaces(&self) -> usize {
        self.accounts.len()
    }

    fn first(&self) -> Option<Ticket> {
        let (Reverse(priority), _, workspace) = self.order.first()?;
        let lane = self.accounts.get(workspace)?.lane(*priority)?;
        lane.waiting.first().copied()
    }

    /// Returns the newest request of the workspace that is most over its share.
    fn victim(&self) -> Ticket {
        let (Reverse(priority), _, workspace) = self.excess.last().expect("a full queue has lanes");
        let lane = self.accounts[workspace]
            .lane(*priority)
            .expect("the lane is indexed");
        *lane.waiting.last().expect("a lane is never empty")
    }

    /// Finds the account of a workspace, or opens one at the floor.
    fn account(&mut self, workspace: &Arc<str>, weight: u32) -> &mut Account {
        let weight = weight.max(1);
        let floor = self.floor;
        let ceiling = floor.saturating_add(account::cost(self.config.max_debt_tokens, weight));
        let account = self
            .accounts
            .entry(Arc::clone(workspace))
            .or_insert(Account {
                weight,
                counter: floor,
                running: 0,
                lanes: Vec::new(),
            });
        if account.lanes.is_empty() {
            // It has no place in `order` that the change could disturb.
            self.idle.remove(&(account.counter, Arc::clone(workspace)));
            account.counter = account.counter.clamp(floor, ceiling);
            account.weight = weight;
        }
        account
    }

    fn insert(&mut self, entry: Entry<T>, until: Time) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let workspace = Arc::clone(&entry.workspace);
        let priority = entry.priority;
        let tokens = entry.tokens.max(self.config.min_tokens);
        self.account(&workspace, entry.weight);
        self.reindex(&workspace, |account| {
            account.enqueue(priority, ticket, tokens)
        });
        self.level(priority, 1);
        self.deadlines.insert((until, ticket));
        self.waiting.insert(ticket, Waiting { entry, until });
        ticket
    }

    /// Takes a request out of every index, and leaves its account open.
    fn take(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let Waiting { entry, until } = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(until, ticket));
        let tokens = entry.tokens.max(self.config.min_tokens);
        self.reindex(&entry.workspace, |account| {
            account.dequeue(entry.priority, ticket, tokens);
        });
        self.level(entry.priority, -1);
        Some(entry)
    }

    /// Changes an account and moves its lanes to their new places.
    fn reindex(&mut self, workspace: &Arc<str>, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        for lane in &account.lanes {
            self.order.remove(&(
                Reverse(lane.priority),
                account.counter,
                Arc::clone(workspace),
            ));
            self.excess.remove(&(
                Reverse(lane.priority),
                account.excess(lane),
                Arc::clone(workspace),
            ));
        }
        self.idle.remove(&(account.counter, Arc::clone(workspace)));
        let lanes = account
            .lanes
            .iter()
            .map(|lane| lane.priority)
            .collect::<Vec<_>>();
        change(account);
        for lane in &account.lanes {
            self.order.insert((
                Reverse(lane.priority),
                account.counter,
                Arc::clone(workspace),
            ));
            self.excess.insert((
                Reverse(lane.priority),
                account.excess(lane),
                Arc::clone(workspace),
            ));
        }
        if account.is_idle() {
            self.idle.insert((account.counter, Arc::clone(workspace)));
        }
        let now_lanes = account
            .lanes
            .iter()
            .map(|lane| lane.priority)
            .collect::<Vec<_>>();
        self.count_lanes(&lanes, &now_lanes);
    }

    fn count_lanes(&mut self, before: &[u8], after: &[u8]) {
        for priority in after.iter().filter(|priority| !before.contains(priority)) {
            self.level_mut(*priority).lanes += 1;
        }
        for priority in before.iter().filter(|priority| !after.contains(priority)) {
            self.level_mut(*priority).lanes -= 1;
        }
    }

    fn level_mut(&mut self, priority: u8) -> &mut Level {
        let at = match self
            .levels
            .binary_search_by_key(&Reverse(priority), |level| Reverse(level.priority))
        {
            Ok(at) => at,
            Err(at) => {
                self.levels.insert(
                    at,
                    Level {
                        priority,
                        queued: 0,
                        lanes: 0,
                    },
                );
                at
            }
        };
        &mut self.levels[at]
    }

    fn level(&mut self, priority: u8, change: isize) {
        let level = self.level_mut(priority);
        level.queued = level.queued.saturating_add_signed(change);
    }

    /// Files an account that has become idle, and forgets what it may.
    fn settle(&mut self, workspace: &str) {
        let Some((name, account)) = self.accounts.get_key_value(workspace) else {
            return;
        };
        if account.is_idle() {
            self.idle.insert((account.counter, Arc::clone(name)));
        }
        self.forget();
    }

    /// Forgets idle accounts that owe nothing, and the smallest debts beyond the bound.
    fn forget(&mut self) {
        while let Some((counter, _)) = self.idle.first() {
            if *counter > self.floor && self.idle.len() <= self.config.max_idle {
                break;
            }
            if let Some((_, workspace)) = self.idle.pop_first() {
                self.accounts.remove(&workspace);
            }
        }
    }
}
