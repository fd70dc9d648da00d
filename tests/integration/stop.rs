//! Planned stops under load cut no request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cactusroad::demo::client::{Client, Error};
use tokio::task::JoinSet;

use crate::{
    caller::{self, Ending},
    site::{Config, Site, until},
};

const CALLERS: usize = 8;

/// Callers that send one generation after another.
struct Load {
    callers: JoinSet<()>,
    finished: Arc<AtomicUsize>,
    over: Arc<AtomicBool>,
}

impl Load {
    fn start(entries: &[SocketAddr]) -> Load {
        let finished = Arc::new(AtomicUsize::new(0));
        let over = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let (finished, over) = (finished.clone(), over.clone());
            let entries = entries.to_vec();
            callers.spawn(async move {
                let mut round = 0;
                while !over.load(Ordering::Relaxed) {
                    let prompt = format!("caller {number} round {round} [len=120]");
                    whole(&entries, number + round, &prompt).await;
                    finished.fetch_add(1, Ordering::Relaxed);
                    round += 1;
                }
            });
        }
        Load {
            callers,
            finished,
            over,
        }
    }

    /// Waits until so many more requests have been answered whole.
    async fn pass(&self, count: usize) {
        let goal = self.finished.load(Ordering::Relaxed) + count;
        until("requests are answered", || {
            self.finished.load(Ordering::Relaxed) >= goal
        })
        .await;
    }

    /// Ends the load; a caller that saw a fault fails here.
    async fn end(mut self) {
        self.over.store(true, Ordering::Relaxed);
        while let Some(ended) = self.callers.join_next().await {
            ended.expect("no caller saw a fault");
        }
    }
}

/// Gets a whole answer, from the next entry where one does not take connections.
async fn whole(entries: &[SocketAddr], first: usize, prompt: &str) {
    let mut entry = first;
    loop {
        // A new connection for each request, as the balancer would make.
        let client = Client::new();
        let address = entries[entry % entries.len()];
        match caller::generate(&client, address, prompt).await {
            Ok((received, ending)) => {
                assert_eq!(ending, Ending::Done, "{prompt}");
                return received.assert_whole(prompt);
            }
            Err(Error::Connection(_)) => entry += 1,
            Err(other) => panic!("{prompt}: {other}"),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn entry_stopped_under_load() {
    let mut site = Site::start(Config::default()).await;
    let entries = [site.entries[0].address, site.entries[1].address];
    let load = Load::start(&entries);
    load.pass(CALLERS).await;
    site.entries[0].process.terminate();
    let status = site.entries[0].process.ended().await;
    assert_eq!(status.code(), Some(0));
    load.pass(CALLERS).await;
    load.end().await;
    assert!(site.generations("caller").iter().all(|seen| seen.ended));
}

#[tokio::test]
async fn agent_stopped_under_load() {
    let mut site = Site::start(Config::default()).await;
    let entries = [site.entries[0].address, site.entries[1].address];
    let load = Load::start(&entries);
    load.pass(CALLERS).await;
    site.engines[0].process.terminate();
    let status = site.engines[0].process.ended().await;
    assert_eq!(status.code(), Some(0));
    load.pass(CALLERS).await;
    load.end().await;
    assert!(site.generations("caller").iter().all(|seen| seen.ended));
}
