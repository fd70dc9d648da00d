//! Reports of usage by one of several gateways.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use cactusroad::platform::standin::{
    duty::{Behaviour, Call, Duties},
    store,
};
use http::StatusCode;
use rustix::process::Signal;
use serde_json::{Value, json};
use tempfile::NamedTempFile;
use tokio::time::sleep;

use crate::site::Site;

/// The number of gateways that may hold the duty.
const GATEWAYS: usize = 4;

/// The length of a window, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// The time after the end of a window at which its report is due.
const DUE: Duration = Duration::from_secs(10);

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.expect("the clock is set").as_millis();
    u64::try_from(millis).expect("the clock is set")
}

/// A site whose gateways report usage, and the requests that began, by window.
struct Metered {
    site: Site,
    duties: Duties,
    sent: BTreeMap<u64, u64>,
    number: usize,
}

impl Metered {
    async fn start() -> Metered {
        let duties = Duties::start().await.expect("a port is free");
        let mut site = Site::start(1, 1).await;
        site.metering = Some(duties.address());
        site.start_gateways(GATEWAYS).await;
        Metered {
            site,
            duties,
            sent: BTreeMap::new(),
            number: 0,
        }
    }

    /// Sends requests through these gateways until `limit` has passed, and not near the edge
    /// of a window, where the window of a request is not certain.
    async fn send(&mut self, gateways: &[usize], limit: Duration) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let now = wall_ms();
            if !(400..4_600).contains(&(now % WINDOW_MS)) {
                sleep(Duration::from_millis(20)).await;
                continue;
            }
            let gateway = gateways[self.number % gateways.len()];
            let path = ["/orders/1", "/drafts/1"][self.number % 2];
            let id = format!("u{}", self.number);
            self.number += 1;
            let answer = self.site.send_through(gateway, path, &id).await;
            let status = answer.expect("the gateway answers").status;
            assert_eq!(status, StatusCode::OK);
            *self.sent.entry(now / WINDOW_MS).or_default() += 1;
        }
    }

    fn holder(&self) -> Option<usize> {
        let spec = self.site.store.spec("duties", "usage")?;
        let name = spec["holder"].as_str()?.to_owned();
        name.strip_prefix("edge-south-")?.parse().ok()
    }

    async fn wait_holder(&self) -> usize {
        for _ in 0..200 {
            if let Some(holder) = self.holder() {
                return holder;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no gateway holds the duty after 10 s");
    }

    /// Waits until a call of a gateway was refused.
    async fn wait_refused(&self, owner: &str) {
        for _ in 0..500 {
            let calls = self.duties.calls();
            let mut refused = calls.iter().filter(|call| !call.is_accepted);
            if refused.any(|call| call.owner == owner) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("no call of {owner} was refused after 10 s");
    }

    /// Waits until the current window must have been reported.
    async fn wait_reported(&self) -> u64 {
        let window = wall_ms() / WINDOW_MS;
        let end = (window + 1) * WINDOW_MS + DUE.as_millis() as u64;
        sleep(Duration::from_millis(end - wall_ms())).await;
        window
    }

    /// Checks all that must hold of the calls, and returns the reports that were accepted.
    fn reports(&self) -> BTreeMap<u64, (Value, Call)> {
        let mut reports: BTreeMap<u64, (Value, Call)> = BTreeMap::new();
        let calls = self.duties.calls();
        let mut last: Option<&Call> = None;
        for call in &calls {
            assert_eq!(call.path, "/usage");
            if let Some(last) = last {
                assert!(call.token >= last.token, "a lower token: {call:?}");
                let is_same = call.token == last.token;
                assert_eq!(
                    is_same,
                    call.owner == last.owner,
                    "a shared token: {call:?}"
                );
            }
            last = Some(call);
            if !call.is_accepted {
                continue;
            }
            let window = call.body["windowId"].as_u64().expect("a window");
            let counts = call.body["counts"].clone();
            let known = reports
                .entry(window)
                .or_insert_with(|| (counts.clone(), call.clone()));
            assert_eq!(known.0, counts, "two reports of window {window}");
        }
        reports
    }

    /// Checks that the windows up to `last` that had requests were reported in time, with
    /// exact counts.
    fn assert_reported(&self, last: u64) {
        let reports = self.reports();
        for (window, sent) in self.sent.range(..=last) {
            let Some((counts, call)) = reports.get(window) else {
                panic!("window {window} with {sent} requests is missing: {reports:#?}");
            };
            assert_eq!(*counts, json!({"workshop": sent}), "window {window}");
            let due_ms = (window + 1) * WINDOW_MS + DUE.as_millis() as u64;
            assert!(call.wall_ms <= due_ms, "window {window} is late");
        }
        let windows: Vec<u64> = reports.keys().copied().collect();
        for pair in windows.windows(2) {
            assert_eq!(pair[0] + 1, pair[1], "a window was left out");
        }
    }
}

#[tokio::test]
async fn duty_holder_killed() {
    // Guards against reports that are missing, double or wrong when their holder is killed.
    let mut metered = Metered::start().await;
    let first = metered.wait_holder().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    metered.send(&all, Duration::from_secs(8)).await;
    let rest: Vec<usize> = all.iter().copied().filter(|n| *n != first).collect();
    // The counts of the holder itself reach its backups with the next poll.
    sleep(Duration::from_millis(1_300)).await;
    metered.site.kill_gateway(first);
    metered.send(&rest, Duration::from_secs(8)).await;
    let last = metered.wait_reported().await;
    metered.assert_reported(last);
    assert_ne!(metered.holder(), Some(first));
    let owners: Vec<String> = metered
        .duties
        .calls()
        .into_iter()
        .map(|call| call.owner)
        .collect();
    assert!(
        owners
            .iter()
            .any(|owner| *owner == format!("edge-south-{first}"))
    );
    assert!(
        owners
            .iter()
            .any(|owner| *owner != format!("edge-south-{first}"))
    );
}

#[tokio::test]
async fn duty_holder_paused() {
    // Guards against a paused holder that sends what it had not sent yet after its successor did.
    let mut metered = Metered::start().await;
    let first = metered.wait_holder().await;
    let rest: Vec<usize> = (0..GATEWAYS).filter(|n| *n != first).collect();
    let owner = format!("edge-south-{first}");
    metered.duties.set_behaviour(Behaviour::Limiting);
    metered.wait_refused(&owner).await;
    metered.site.signal_gateway(first, Signal::STOP);
    metered.duties.set_behaviour(Behaviour::Normal);
    metered.send(&rest, Duration::from_secs(9)).await;
    assert_ne!(metered.holder(), Some(first));
    let before = metered.duties.calls().len();
    metered.site.signal_gateway(first, Signal::CONT);
    metered.send(&rest, Duration::from_secs(4)).await;
    let last = metered.wait_reported().await;
    metered.assert_reported(last);
    let calls = metered.duties.calls();
    let refused = calls.iter().find(|call| call.owner == owner);
    let refused = refused.map(|call| call.body["windowId"].clone());
    let is_successor = |call: &Call| call.owner != owner && call.is_accepted;
    let sent = calls[..before].iter().filter(|call| is_successor(call));
    let mut sent = sent.map(|call| call.body["windowId"].clone());
    assert!(sent.any(|window| Some(window) == refused), "{calls:#?}");
    let late = calls[before..].iter().find(|call| call.owner == owner);
    assert_eq!(late, None);
}

#[tokio::test]
async fn duty_holder_terminated() {
    // Guards against a successor that waits for the lease of a holder that was told to stop, and
    // against a holder that acts after that.
    let mut metered = Metered::start().await;
    let first = metered.wait_holder().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    let rest: Vec<usize> = all.iter().copied().filter(|n| *n != first).collect();
    metered.send(&all, Duration::from_secs(7)).await;
    metered.site.signal_gateway(first, Signal::TERM);
    let told_at = Instant::now();
    let limit = Duration::from_millis(2_500);
    while metered.holder() == Some(first) {
        assert!(told_at.elapsed() < limit, "no successor after {limit:?}");
        sleep(Duration::from_millis(20)).await;
    }
    let successor = metered.holder();
    metered.send(&rest, Duration::from_secs(6)).await;
    assert!(metered.site.wait_exit(first, Duration::from_secs(10)).await);
    let last = metered.wait_reported().await;
    metered.assert_reported(last);
    assert_eq!(metered.holder(), successor);
    let calls = metered.duties.calls();
    assert_eq!(calls.last().map(|call| call.token), Some(2));
}

#[tokio::test]
async fn duty_object_removed() {
    // Guards against a paused holder or a new gateway that creates the lease object again with
    // a token that was used, and against two reports of a window.
    let mut metered = Metered::start().await;
    let first = metered.wait_holder().await;
    let rest: Vec<usize> = (0..GATEWAYS).filter(|n| *n != first).collect();
    metered.send(&rest, Duration::from_secs(6)).await;
    metered.site.signal_gateway(first, Signal::STOP);
    while metered.holder() == Some(first) {
        sleep(Duration::from_millis(20)).await;
    }
    let token = |metered: &Metered| {
        let spec = metered.site.store.spec("duties", "usage");
        spec.and_then(|spec| spec["token"].as_u64())
    };
    let before = (metered.holder(), token(&metered));
    assert_eq!(before.1, Some(2));
    metered.site.store.remove("duties", "usage");
    metered.site.signal_gateway(first, Signal::CONT);
    // The successor holds a valid lease, so it creates the object again with its token.
    let holder = metered.wait_holder().await;
    assert_ne!(holder, first);
    assert_eq!((Some(holder), token(&metered)), before);
    metered.send(&rest, Duration::from_secs(6)).await;
    metered.wait_reported().await;
    assert_eq!(metered.holder(), Some(holder));
    // Checks the tokens and the reports of all calls.
    assert!(!metered.reports().is_empty());
}

#[tokio::test]
async fn duty_report_rejected() {
    // Guards against reports that wait for one that the platform never accepts.
    let mut metered = Metered::start().await;
    metered.wait_holder().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    let rejected = wall_ms() / WINDOW_MS + 1;
    metered.duties.set_behaviour(Behaviour::Rejecting(rejected));
    metered.send(&all, Duration::from_secs(15)).await;
    let last = metered.wait_reported().await;
    let calls = metered.duties.calls();
    let of_rejected = calls
        .iter()
        .filter(|call| call.body["windowId"] == rejected);
    let attempts = of_rejected.count();
    assert!((3..=12).contains(&attempts), "{attempts} attempts");
    for window in (rejected + 1)..=last {
        let accepted = calls
            .iter()
            .find(|call| call.body["windowId"] == window && call.is_accepted);
        let accepted = accepted.unwrap_or_else(|| panic!("window {window} is missing"));
        // It is decided at most 6 s after its end, and usually after 1.5 s.
        let age_ms = accepted.wall_ms - (window + 1) * WINDOW_MS;
        assert!(age_ms < 7_500, "window {window} was sent after {age_ms} ms");
    }
}

#[tokio::test]
async fn duty_platform_disturbed() {
    // Guards against reports that are given up or changed when the platform does not accept
    // them at once.
    let mut metered = Metered::start().await;
    metered.wait_holder().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    let slow = Behaviour::Slow(Duration::from_millis(400));
    for behaviour in [
        Behaviour::Limiting,
        Behaviour::Silent,
        Behaviour::Down,
        slow,
    ] {
        metered.duties.set_behaviour(behaviour);
        metered.send(&all, Duration::from_millis(2_500)).await;
    }
    metered.duties.set_behaviour(Behaviour::Normal);
    let last = metered.wait_reported().await;
    metered.assert_reported(last);
}

#[tokio::test]
async fn duty_store_lost_in_time() {
    // Guards against a holder that acts without the store, and against a report that is late or
    // lost because of a short outage.
    let mut metered = Metered::start().await;
    metered.wait_holder().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    metered.send(&all, Duration::from_secs(3)).await;
    metered.site.store.set_behaviour(store::Behaviour::Closing);
    sleep(Duration::from_secs(5)).await;
    let calls = metered.duties.calls().len();
    sleep(Duration::from_secs(2)).await;
    assert_eq!(metered.duties.calls().len(), calls);
    metered.site.store.set_behaviour(store::Behaviour::Normal);
    metered.send(&all, Duration::from_secs(3)).await;
    let last = metered.wait_reported().await;
    metered.assert_reported(last);
}

#[tokio::test]
async fn duty_store_lost() {
    // Guards against a holder that sends a decided report without the store, and against a
    // report that is lost with it.
    let mut metered = Metered::start().await;
    let holder = metered.wait_holder().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    metered.send(&all, Duration::from_secs(3)).await;
    metered.duties.set_behaviour(Behaviour::Limiting);
    metered.wait_refused(&format!("edge-south-{holder}")).await;
    let refused = metered.duties.calls().last().cloned();
    let refused = refused.expect("a call was refused").body;
    metered.site.store.set_behaviour(store::Behaviour::Closing);
    sleep(Duration::from_millis(4_500)).await;
    // The report is still to be sent, and the platform would accept it.
    metered.duties.set_behaviour(Behaviour::Normal);
    let calls = metered.duties.calls().len();
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(metered.duties.calls().len(), calls);
    metered.site.store.set_behaviour(store::Behaviour::Normal);
    metered.send(&all, Duration::from_secs(3)).await;
    metered.wait_reported().await;
    let window = refused["windowId"].as_u64().expect("a window");
    let reports = metered.reports();
    let counts = reports.get(&window).map(|(counts, _)| counts);
    assert_eq!(counts, Some(&refused["counts"]));
    for (window, sent) in &metered.sent {
        let counts = reports.get(window).map(|(counts, _)| counts);
        assert_eq!(counts, Some(&json!({"workshop": sent})), "window {window}");
    }
}

#[tokio::test]
async fn duty_steady() {
    // Guards against more than one call per window, and against store calls by gateways that
    // do not hold the duty or beyond the renewals of the one that does.
    let mut metered = Metered::start().await;
    let holder = metered.wait_holder().await;
    let renewals = |site: &Site| {
        let spec = site
            .store
            .spec("duties", "usage")
            .expect("the duty is held");
        spec["renewal"].as_u64().expect("a number")
    };
    let all: Vec<usize> = (0..GATEWAYS).collect();
    metered.send(&all, Duration::from_secs(2)).await;
    let before = renewals(&metered.site);
    metered.send(&all, Duration::from_secs(15)).await;
    let calls = renewals(&metered.site) - before;
    // A renewal each 1.3 s, and three decisions.
    assert!((8..=16).contains(&calls), "{calls} writes in 15 s");
    let last = metered.wait_reported().await;
    metered.assert_reported(last);
    assert_eq!(metered.holder(), Some(holder));
    assert_eq!(metered.duties.calls().len(), metered.reports().len());
    assert!(metered.duties.calls().iter().all(|call| call.token == 1));
}

#[tokio::test]
async fn duty_holder_restarted() {
    // Guards against a restarted holder that acts with its old token, and against requests of
    // a gateway at a new address that are not counted.
    let mut metered = Metered::start().await;
    let first = metered.wait_holder().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    metered.send(&all, Duration::from_secs(3)).await;
    sleep(Duration::from_millis(1_300)).await;
    metered.site.kill_gateway(first);
    metered.site.restart_gateway(first).await;
    // The first read of the new process, and the takeover from the old one.
    sleep(Duration::from_secs(7)).await;
    metered.send(&all, Duration::from_secs(6)).await;
    let last = metered.wait_reported().await;
    metered.assert_reported(last);
    let tokens = metered.duties.calls().into_iter().map(|call| call.token);
    assert_eq!(tokens.max(), Some(2));
}

#[tokio::test]
async fn duty_logged() {
    // Guards against a report whose course operators cannot follow in the log.
    let duties = Duties::start().await.expect("a port is free");
    let mut site = Site::start(0, 1).await;
    site.metering = Some(duties.address());
    let file = NamedTempFile::new().expect("a file can be made");
    let output = file.reopen().expect("the file can be opened");
    site.start_logged_gateway(output.into()).await;
    let answer = site.send_through(0, "/orders/1", "o1").await;
    assert_eq!(answer.map(|answer| answer.status), Some(StatusCode::OK));
    sleep(Duration::from_secs(14)).await;
    let text = std::fs::read_to_string(file.path()).expect("the log can be read");
    let lines = text.lines().map(serde_json::from_str);
    let lines: Vec<Value> = lines.filter_map(Result::ok).collect();
    let find = |event: &str| -> Vec<&Value> {
        let of_kind = lines.iter().filter(|line| line["event"] == event);
        of_kind.collect()
    };
    let taken = find("duty_taken");
    assert_eq!(taken.len(), 1, "{taken:?}");
    assert_eq!(
        (&taken[0]["token"], &taken[0]["duty"]),
        (&json!(1), &json!("usage"))
    );
    for (window, _) in metered_windows(&duties) {
        let decided = find("usage_decided");
        assert!(
            decided.iter().any(|line| line["window"] == window),
            "{decided:?}"
        );
        let sent = find("usage_sent");
        let is_sent = |line: &&Value| {
            line["window"] == window && line["outcome"] == "acknowledged" && line["attempt"] == 1
        };
        assert!(sent.iter().any(is_sent), "{sent:?}");
    }
    let requests: u64 = find("usage_decided")
        .iter()
        .filter_map(|line| line["requests"].as_u64())
        .sum();
    assert_eq!(requests, 1);
    assert_eq!(find("duty_lost"), Vec::<&Value>::new());
    assert_eq!(find("usage_missed"), Vec::<&Value>::new());
}

/// Returns the reported windows and their counts.
fn metered_windows(duties: &Duties) -> Vec<(u64, Value)> {
    let calls = duties.calls();
    assert!(!calls.is_empty(), "nothing was reported");
    let window = |call: &Call| (call.body["windowId"].as_u64(), call.body["counts"].clone());
    let windows = calls.iter().map(window);
    windows
        .map(|(id, counts)| (id.expect("a window"), counts))
        .collect()
}

#[tokio::test]
async fn duty_without_metering() {
    // Guards against objects, store calls and calls to the platform by gateways whose settings
    // have no duties, or only unknown ones.
    let duties = Duties::start().await.expect("a port is free");
    for names in [None, Some(json!([])), Some(json!(["mowing"]))] {
        let mut site = Site::start(0, 1).await;
        site.metering = names.as_ref().map(|_| duties.address());
        site.duties = names;
        site.start_gateways(GATEWAYS).await;
        let answer = site.send_through(0, "/orders/1", "o1").await;
        assert_eq!(answer.map(|answer| answer.status), Some(StatusCode::OK));
        sleep(Duration::from_secs(7)).await;
        assert_eq!(site.store.names("duties"), Vec::<String>::new());
        assert_eq!(site.store.calls_about("duties"), 0);
        assert!(site.store.calls_about("servers") > 0);
        assert_eq!(duties.calls(), Vec::new());
    }
}
