//! Entries of other writers in the list of endpoints name no endpoint and affect no other.

use std::time::Duration;

use http::StatusCode;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::site::{ENGINES, ORDERS, Site};

/// How long changes of the list take to be known.
const LISTED: Duration = Duration::from_millis(800);

/// Returns entries that cannot be read, or name no address.
fn odd_entries() -> Vec<(&'static str, Vec<u8>)> {
    let with = |field: &str, value: &str| {
        let fields = [
            ("service", format!("{ORDERS:?}")),
            ("address", "\"127.0.0.1:9\"".to_owned()),
            ("zone", "\"north\"".to_owned()),
            ("version", "\"v1\"".to_owned()),
            ("batchSlots", "8".to_owned()),
            ("phase", "\"available\"".to_owned()),
            ("coldRemainingMs", "0".to_owned()),
            ("sequence", "1".to_owned()),
            ("born", "1000".to_owned()),
        ];
        let mut text: Vec<String> = fields
            .iter()
            .filter(|(name, _)| *name != field)
            .map(|(name, value)| format!("{name:?}:{value}"))
            .collect();
        text.push(format!("{field:?}:{value}"));
        format!("{{{}}}", text.join(",")).into_bytes()
    };
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let mut unreadable = with("version", "\"v?\"");
    let place = unreadable.iter().position(|byte| *byte == b'?');
    unreadable[place.expect("it is there")] = 0xff;
    vec![
        ("deep", with("extra", &deep)),
        ("deep-service", with("service", &deep)),
        ("deep-whole", deep.clone().into_bytes()),
        ("huge-slots", with("batchSlots", "1e999")),
        ("huge-cold", with("coldRemainingMs", "1e999")),
        ("huge-born", with("born", &"9".repeat(60))),
        (
            "huge-extra",
            with("extra", &format!("1e{}", "9".repeat(60))),
        ),
        ("port-above", with("address", "\"127.0.0.1:99999\"")),
        ("port-below", with("address", "\"127.0.0.1:-1\"")),
        ("port-zero", with("address", "\"127.0.0.1:0\"")),
        ("surrogate", with("version", "\"\\ud800\"")),
        ("unreadable", unreadable),
        ("text", b"\"nothing\"".to_vec()),
        ("null", b"null".to_vec()),
    ]
}

/// Sends orders one after the other, and returns how many were answered.
async fn answered(site: &Site, name: &str, count: usize) -> usize {
    let mut answered = 0;
    for number in 0..count {
        let answer = site.send("/orders/1", &format!("{name}-{number}")).await;
        answered += usize::from(answer.is_some_and(|answer| answer.status == StatusCode::OK));
    }
    answered
}

/// Guards against an entry that ends the process that reads it, or keeps it from following
/// the list.
#[tokio::test]
async fn odd_entry_skipped() {
    let site = Site::start(0, 2).await;
    // The second replica is listed again after each odd entry, so it is known only if the
    // list is still followed.
    for (name, spec) in odd_entries() {
        site.store.remove("servers", "o-1");
        sleep(LISTED).await;
        site.store.put_raw("servers", "odd", &spec);
        let entry = site.orders[1].entry(ORDERS, "north", "available");
        site.store.put("servers", "o-1", entry);
        sleep(LISTED).await;
        let before = site.orders[1].seen().len();
        assert_eq!(answered(&site, name, 12).await, 12, "{name}");
        assert!(site.orders[1].seen().len() > before, "{name}");
        site.store.remove("servers", "odd");
    }
}

/// As above for processes that start while the entry is there.
#[tokio::test]
async fn odd_entry_skipped_at_start() {
    let mut site = Site::start(0, 2).await;
    for (name, spec) in odd_entries() {
        site.store.put_raw("servers", "odd", &spec);
        site.restart().await;
        assert_eq!(answered(&site, name, 12).await, 12, "{name}");
    }
}

/// An entry of a replica under the name of another service, complete but for one field.
fn foreign(site: &Site, number: usize, missing: &str) -> serde_json::Value {
    let mut entry = site.orders[number].entry(ENGINES, "north", "available");
    let fields = entry.as_object_mut().expect("an entry is an object");
    fields.remove(missing).expect("the field exists");
    entry
}

/// Guards against a replica that runs the requests of another service, because another writer
/// once replaced its entry.
#[tokio::test]
async fn foreign_service() {
    let site = Site::start(1, 2).await;
    for missing in ["sequence", "coldRemainingMs", "version"] {
        let entry = foreign(&site, 0, missing);
        site.store.put("servers", "o-0", entry);
        sleep(LISTED).await;
        let own = site.orders[0].entry(ORDERS, "north", "available");
        site.store.put("servers", "o-0", own);
        sleep(LISTED).await;
        assert_eq!(answered(&site, missing, 12).await, 12);
        for number in 0..6 {
            let id = format!("{missing}-s{number}");
            site.send("/drafts/1", &id).await.expect("an answer");
        }
        for replica in &site.orders {
            let mut seen = replica.seen().into_iter();
            assert!(seen.all(|seen| seen.path == "/orders/1"), "{missing}");
        }
    }
}

/// Endpoints that change their service, and are named by other writers meanwhile, get the
/// requests of the service in their last entry and of no other.
#[tokio::test]
async fn entries_random() {
    let site = Site::start(2, 3).await;
    let mut random = ChaCha8Rng::seed_from_u64(41);
    for round in 0..6 {
        for _ in 0..20 {
            let number = random.random_range(0..site.orders.len());
            let name = format!("o-{number}");
            match random.random_range(0..5) {
                0 => site
                    .store
                    .put("servers", &name, foreign(&site, number, "version")),
                1 => site
                    .store
                    .put_raw("servers", &name, b"{\"service\":\"\xff\"}"),
                2 => site.store.remove("servers", &name),
                3 => {
                    let entry = site.orders[number].entry(ORDERS, "north", "draining");
                    site.store.put("servers", &name, entry);
                }
                _ => {
                    let entry = site.orders[number].entry(ORDERS, "north", "available");
                    site.store.put("servers", &name, entry);
                }
            }
            sleep(Duration::from_millis(random.random_range(0..40))).await;
        }
        // The last entries name two of the three.
        let gone = random.random_range(0..site.orders.len());
        for (number, replica) in site.orders.iter().enumerate() {
            let name = format!("o-{number}");
            let entry = replica.entry(ORDERS, "north", "available");
            site.store.put("servers", &name, entry);
            if number == gone {
                site.store.remove("servers", &name);
            }
        }
        sleep(LISTED).await;
        let before: Vec<usize> = site
            .orders
            .iter()
            .map(|replica| replica.seen().len())
            .collect();
        assert_eq!(answered(&site, &format!("r{round}"), 30).await, 30);
        for number in 0..4 {
            let id = format!("r{round}-s{number}");
            site.send("/drafts/1", &id).await.expect("an answer");
        }
        for (number, replica) in site.orders.iter().enumerate() {
            let seen = replica.seen();
            assert!(seen.iter().all(|seen| seen.path == "/orders/1"));
            assert_eq!(seen.len() > before[number], number != gone, "round {round}");
        }
    }
}
