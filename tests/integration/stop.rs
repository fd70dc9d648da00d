//! Tests that a graceful shutdown under load interrupts no request.

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
    caller::{self, Ending, Received},
    site::{Config, Site, WAIT, until},
};

const CALLERS: usize = 8;

/// Callers that each send one generation after another.
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

    /// Waits until `count` more requests have been answered completely.
    async fn pass(&self, count: usize) {
        let goal = self.finished.load(Ordering::Relaxed) + count;
        until("requests are answered", || {
            self.finished.load(Ordering::Relaxed) >= goal
        })
        .await;
    }

    /// Stops the callers and panics if one of them failed.
    async fn end(mut self) {
        self.over.store(true, Ordering::Relaxed);
        while let Some(ended) = self.callers.join_next().await {
            ended.expect("a caller failed");
        }
    }
}

/// Gets a complete answer, trying the next entry after a failed connection.
async fn whole(entries: &[SocketAddr], first: usize, prompt: &str) {
    let mut entry = first;
    loop {
        // A new connection for each request, as a load balancer opens.
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

#[tokio::test]
async fn leaving_endpoint_gets_no_new_work() {
    const IN_A_ROW: usize = 40;
    let mut site = Site::start(Config::default()).await;
    let before = "in hand before the announcement [len=300]";
    let entry = site.entries[0].address;
    let mut received = Received::default();
    let mut stream = caller::start(&site.client, entry, before).await.unwrap();
    received.read(&mut stream, 1).await;
    let holder = site.holder(before).unwrap();
    site.announce_leaving(holder);

    let mut elsewhere = 0;
    let counting = async {
        for number in 0.. {
            let prompt = format!("new work {number} [len=1]");
            let address = site.entries[number % 2].address;
            let (answer, ending) = caller::generate(&site.client, address, &prompt)
                .await
                .unwrap();
            assert_eq!(ending, Ending::Done);
            answer.assert_whole(&prompt);
            elsewhere = match site.holder(&prompt) == Some(holder) {
                true => 0,
                false => elsewhere + 1,
            };
            if elsewhere == IN_A_ROW {
                return;
            }
        }
    };
    let counted = tokio::time::timeout(WAIT, counting).await;
    counted.expect("the leaving endpoint still got new requests");
    assert_eq!(received.finish(&mut stream).await, Ending::Done);
    received.assert_whole(before);
}
