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
    interval::Interval,
};
use crate::Time;

#[derive(Clone, Debug)]
struct Waiting<T> {
    entry: Entry<T>,
    /// When it leaves the queue unserved.
    expires_at: Time,
}

/// Requests of one priority that wait.
#[derive(Clone, Copy, Debug)]
struct Level {
    priority: u8,
    queued: usize,
    flows: usize,
}

/// The bounded queue of one endpoint.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    config: Config,
    next_ticket: u64,
    floor: u64,
    waiting: BTreeMap<Ticket, Waiting<T>>,
    accounts: BTreeMap<Arc<str>, Account>,
    /// Lanes in the order in which they are served.
    service_order: BTreeSet<(Reverse<u8>, u64, Arc<str>)>,
    /// Lanes such that the last is shed first.
    shed_order: BTreeSet<(Reverse<u8>, u64, Arc<str>)>,
    deadlines: BTreeSet<(Time, Ticket)>,
    /// Accounts that neither wait nor run, by counter.
    idle: BTreeSet<(u64, Arc<str>)>,
    /// Sorted by priority, the highest first.
    levels: Vec<Level>,
    dispatch_interval: Interval,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(config: Config) -> Queue<T> {
        Queue {
            config,
            next_ticket: 0,
            floor: 0,
            waiting: BTreeMap::new(),
            accounts: BTreeMap::new(),
            service_order: BTreeSet::new(),
            shed_order: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            idle: BTreeSet::new(),
            levels: Vec::new(),
            dispatch_interval: Interval::default(),
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
        let expires_at = entry
            .deadline
            .min(now + Duration::from_millis(self.config.max_wait_ms));
        let start = now + self.wait(&entry.workspace, entry.priority, now);
        if start > expires_at {
            return Err(Rejected {
                entry,
                reason: Reason::Wait,
                retry_at: start,
            });
        }
        let ticket = self.insert(entry, expires_at);
        let mut shed = None;
        if self.waiting.len() > self.config.capacity {
            let victim = self.victim();
            let entry = self.detach(victim).expect("the victim waits");
            self.index_if_idle(&entry.workspace);
            if victim == ticket {
                return Err(Rejected {
                    entry,
                    reason: Reason::Full,
                    retry_at: start.max(now + self.dispatch_interval.estimate(now)),
                });
            }
            shed = Some(entry);
        }
        self.dispatch_interval.start(now);
        Ok(Pushed { ticket, shed })
    }

    /// Returns the request that goes next.
    ///
    /// It may be past its deadline; [`Queue::expire`] drops those first.
    pub fn peek(&self) -> Option<&Entry<T>> {
        let ticket = self.first_ticket()?;
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
            .is_some_and(|(expires_at, _)| expires_at.is_past(now))
        {
            return None;
        }
        let ticket = self.first_ticket()?;
        let entry = self.detach(ticket)?;
        self.dispatch_interval
            .record_dispatch(now, self.waiting.is_empty());
        let account = self.accounts.get_mut(&entry.workspace)?;
        account.running += 1;
        self.floor = self.floor.max(account.counter);
        self.charge(&entry.workspace, entry.tokens);
        self.evict_idle();
        Some(entry)
    }

    /// Takes out the requests that waited as long as they could; refuse each as
    /// not run.
    pub fn expire(&mut self, now: Time) -> Vec<Entry<T>> {
        let mut expired = Vec::new();
        while let Some(&(expires_at, ticket)) = self.deadlines.first() {
            if !expires_at.is_past(now) {
                break;
            }
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// Takes out a request whose caller is gone.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.detach(ticket)?;
        self.index_if_idle(&entry.workspace);
        if self.waiting.is_empty() {
            self.dispatch_interval.stop();
        }
        Some(entry)
    }

    /// Counts a request that did not wait as running, and charges its prompt.
    pub fn start(&mut self, workspace: &Arc<str>, weight: u32, tokens: u64) {
        self.account_mut(workspace, weight).running += 1;
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
        self.index_if_idle(workspace);
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
            let flow = account.and_then(|account| account.flow(priority));
            let own = flow.map_or(0, |flow| flow.waiting.len());
            let others = level.flows - usize::from(flow.is_some());
            let before = self.flows_before(account, priority).min(others);
            ahead += (own + before + own * others).min(level.queued);
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.dispatch_interval.estimate(now).saturating_mul(ahead)
    }

    /// Counts the lanes of a priority that were served less than an account,
    /// which takes as many steps as there are.
    fn flows_before(&self, account: Option<&Account>, priority: u8) -> usize {
        let counter = account.map_or(self.floor, |account| {
            let debt = account::cost(self.config.max_debt_tokens, account.weight);
            account
                .counter
                .clamp(self.floor, self.floor.saturating_add(debt))
        });
        let flows = self.service_order.iter();
        flows
            .skip_while(|(Reverse(other), ..)| *other > priority)
            .take_while(|(Reverse(other), served, _)| *other == priority && *served < counter)
            .count()
    }

    /// Returns when the next request has waited as long as it can.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(expires_at, _)| expires_at)
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
    pub fn workspace_count(&self) -> usize {
        self.accounts.len()
    }

    fn first_ticket(&self) -> Option<Ticket> {
        let (Reverse(priority), _, workspace) = self.service_order.first()?;
        let flow = self.accounts.get(workspace)?.flow(*priority)?;
        flow.waiting.first().copied()
    }

    /// Returns the newest request of the workspace that is most over its share.
    fn victim(&self) -> Ticket {
        let (Reverse(priority), _, workspace) =
            self.shed_order.last().expect("a full queue has lanes");
        let flow = self.accounts[workspace]
            .flow(*priority)
            .expect("the lane is indexed");
        *flow.waiting.last().expect("a lane is never empty")
    }

    /// Finds the account of a workspace, or opens one at the floor.
    fn account_mut(&mut self, workspace: &Arc<str>, weight: u32) -> &mut Account {
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
                flows: Vec::new(),
            });
        if account.flows.is_empty() {
            // It has no place in `order` that the change could disturb.
            self.idle.remove(&(account.counter, Arc::clone(workspace)));
            account.counter = account.counter.clamp(floor, ceiling);
            account.weight = weight;
        }
        account
    }

    fn insert(&mut self, entry: Entry<T>, expires_at: Time) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let workspace = Arc::clone(&entry.workspace);
        let priority = entry.priority;
        let tokens = entry.tokens.max(self.config.min_tokens);
        self.account_mut(&workspace, entry.weight);
        self.reindex(&workspace, |account| {
            account.enqueue(priority, ticket, tokens)
        });
        self.adjust_queued(priority, 1);
        self.deadlines.insert((expires_at, ticket));
        self.waiting.insert(ticket, Waiting { entry, expires_at });
        ticket
    }

    /// Takes a request out of every index, and leaves its account open.
    fn detach(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let Waiting { entry, expires_at } = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(expires_at, ticket));
        let tokens = entry.tokens.max(self.config.min_tokens);
        self.reindex(&entry.workspace, |account| {
            account.dequeue(entry.priority, ticket, tokens);
        });
        self.adjust_queued(entry.priority, -1);
        Some(entry)
    }

    /// Changes an account and moves its lanes to their new places.
    fn reindex(&mut self, workspace: &Arc<str>, change: impl FnOnce(&mut Account)) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        for flow in &account.flows {
            self.service_order.remove(&(
                Reverse(flow.priority),
                account.counter,
                Arc::clone(workspace),
            ));
            self.shed_order.remove(&(
                Reverse(flow.priority),
                account.projected_counter(flow),
                Arc::clone(workspace),
            ));
        }
        self.idle.remove(&(account.counter, Arc::clone(workspace)));
        let before = account
            .flows
            .iter()
            .map(|flow| flow.priority)
            .collect::<Vec<_>>();
        change(account);
        for flow in &account.flows {
            self.service_order.insert((
                Reverse(flow.priority),
                account.counter,
                Arc::clone(workspace),
            ));
            self.shed_order.insert((
                Reverse(flow.priority),
                account.projected_counter(flow),
                Arc::clone(workspace),
            ));
        }
        if account.is_idle() {
            self.idle.insert((account.counter, Arc::clone(workspace)));
        }
        let after = account
            .flows
            .iter()
            .map(|flow| flow.priority)
            .collect::<Vec<_>>();
        self.update_flow_counts(&before, &after);
    }

    fn update_flow_counts(&mut self, before: &[u8], after: &[u8]) {
        for priority in after.iter().filter(|priority| !before.contains(priority)) {
            self.level_mut(*priority).flows += 1;
        }
        for priority in before.iter().filter(|priority| !after.contains(priority)) {
            self.level_mut(*priority).flows -= 1;
        }
    }

    fn level_mut(&mut self, priority: u8) -> &mut Level {
        let index = match self
            .levels
            .binary_search_by_key(&Reverse(priority), |level| Reverse(level.priority))
        {
            Ok(index) => index,
            Err(index) => {
                self.levels.insert(
                    index,
                    Level {
                        priority,
                        queued: 0,
                        flows: 0,
                    },
                );
                index
            }
        };
        &mut self.levels[index]
    }

    fn adjust_queued(&mut self, priority: u8, change: isize) {
        let level = self.level_mut(priority);
        level.queued = level.queued.saturating_add_signed(change);
    }

    /// Files an account that has become idle, and forgets what it may.
    fn index_if_idle(&mut self, workspace: &str) {
        let Some((name, account)) = self.accounts.get_key_value(workspace) else {
            return;
        };
        if account.is_idle() {
            self.idle.insert((account.counter, Arc::clone(name)));
        }
        self.evict_idle();
    }

    /// Forgets idle accounts that owe nothing, and the smallest debts beyond the bound.
    fn evict_idle(&mut self) {
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
