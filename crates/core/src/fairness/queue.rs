//! The queue and its indexes.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use super::{
    Config, Pushed, Queued, Reason, Rejected, Ticket,
    account::{self, Account},
    interval::Interval,
};
use crate::Time;

#[derive(Clone, Debug)]
struct Waiting<T> {
    entry: Queued<T>,
    /// The earlier of the request's deadline and the end of its maximum wait.
    expires_at: Time,
}

/// The number of waiting requests and of flows at one priority.
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
    /// The highest counter at which a request was dispatched, and the counter at which
    /// a new account starts.
    floor: u64,
    waiting: BTreeMap<Ticket, Waiting<T>>,
    accounts: BTreeMap<Arc<str>, Account>,
    /// Flows by priority and counter; the first is served next.
    service_order: BTreeSet<(Reverse<u8>, u64, Arc<str>)>,
    /// Flows by priority and projected counter; the last is shed next.
    shed_order: BTreeSet<(Reverse<u8>, u64, Arc<str>)>,
    /// Waiting requests by [`Waiting::expires_at`].
    deadlines: BTreeSet<(Time, Ticket)>,
    /// Accounts without waiting or running requests, by counter.
    idle: BTreeSet<(u64, Arc<str>)>,
    /// Sorted by descending priority.
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

    /// Adds a request, and sheds another one if the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the request if its deadline has passed, if its estimated wait is too
    /// long, or if the queue is full and the request itself is the one to shed.
    pub fn push(&mut self, entry: Queued<T>, now: Time) -> Result<Pushed<T>, Rejected<T>> {
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
        let start = now + self.estimated_wait(&entry.workspace, entry.priority, now);
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
            let entry = self.detach(victim).expect("the victim is in the queue");
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

    /// Returns the request to dispatch next.
    ///
    /// It may have expired; call [`Queue::expire`] first to remove such requests.
    pub fn peek(&self) -> Option<&Queued<T>> {
        let ticket = self.first_ticket()?;
        self.waiting.get(&ticket).map(|waiting| &waiting.entry)
    }

    /// Removes the request to dispatch next and charges its prompt.
    ///
    /// The request counts as running until [`Queue::finish`]. Returns `None` while
    /// the queue holds requests past their deadline or maximum wait, so that an expired
    /// request is never dispatched; [`Queue::expire`] removes them.
    pub fn pop(&mut self, now: Time) -> Option<Queued<T>> {
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

    /// Removes the requests that have reached their deadline or maximum wait.
    ///
    /// None of them was run, and their callers must be told so.
    pub fn expire(&mut self, now: Time) -> Vec<Queued<T>> {
        let mut expired = Vec::new();
        while let Some(&(expires_at, ticket)) = self.deadlines.first() {
            if !expires_at.is_past(now) {
                break;
            }
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// Removes a request, for example because its caller has disconnected.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Queued<T>> {
        let entry = self.detach(ticket)?;
        self.index_if_idle(&entry.workspace);
        if self.waiting.is_empty() {
            self.dispatch_interval.stop();
        }
        Some(entry)
    }

    /// Counts a request that bypassed the queue as running, and charges its prompt.
    pub fn start(&mut self, workspace: &Arc<str>, weight: u32, tokens: u64) {
        self.account_mut(workspace, weight).running += 1;
        self.charge(workspace, tokens);
    }

    /// Charges a workspace for generated tokens; [`Queue::pop`] and [`Queue::start`]
    /// charge the prompt. A workspace without state is ignored.
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

    /// Records that a running request of a workspace has ended.
    pub fn finish(&mut self, workspace: &str) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.running = account.running.saturating_sub(1);
        }
        self.index_if_idle(workspace);
    }

    /// Estimates how long a request would wait if it arrived now.
    ///
    /// The estimate multiplies the recent dispatch interval by the number of requests
    /// ahead. It assumes that flows with a lower counter go first, and that the flows
    /// of one priority then take turns.
    pub fn estimated_wait(&self, workspace: &str, priority: u8, now: Time) -> Duration {
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

    /// Counts the flows of a priority whose counter is below that of an account, which
    /// is bounded as in [`Queue::account_mut`].
    ///
    /// The time is linear in the number of flows that precede it.
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

    /// Returns when the next request reaches its deadline or maximum wait.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|&(expires_at, _)| expires_at)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of workspaces for which state is held.
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
            self.shed_order.last().expect("a full queue has flows");
        let flow = self.accounts[workspace]
            .flow(*priority)
            .expect("an indexed flow exists");
        *flow.waiting.last().expect("a flow is never empty")
    }

    /// Returns the account of a workspace, and creates one at the floor if needed.
    ///
    /// The counter of an account that has nothing waiting is limited to the floor and
    /// the maximum debt above it.
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
            // Without flows the account is in neither `service_order` nor `shed_order`.
            self.idle.remove(&(account.counter, Arc::clone(workspace)));
            account.counter = account.counter.clamp(floor, ceiling);
            account.weight = weight;
        }
        account
    }

    fn insert(&mut self, entry: Queued<T>, expires_at: Time) -> Ticket {
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

    /// Removes a request from every index, but keeps its account even if that is idle.
    fn detach(&mut self, ticket: Ticket) -> Option<Queued<T>> {
        let Waiting { entry, expires_at } = self.waiting.remove(&ticket)?;
        self.deadlines.remove(&(expires_at, ticket));
        let tokens = entry.tokens.max(self.config.min_tokens);
        self.reindex(&entry.workspace, |account| {
            account.dequeue(entry.priority, ticket, tokens);
        });
        self.adjust_queued(entry.priority, -1);
        Some(entry)
    }

    /// Changes an account and updates the indexes that depend on it.
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

    /// Adds an account to the idle index if it has become idle, and evicts idle
    /// accounts.
    fn index_if_idle(&mut self, workspace: &str) {
        let Some((name, account)) = self.accounts.get_key_value(workspace) else {
            return;
        };
        if account.is_idle() {
            self.idle.insert((account.counter, Arc::clone(name)));
        }
        self.evict_idle();
    }

    /// Evicts idle accounts without debt, and beyond [`Config::max_idle`] those with
    /// the smallest debts.
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
