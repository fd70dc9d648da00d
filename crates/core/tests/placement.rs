//! Placement: subsets, affinity, headroom and idempotency keys.

use std::{collections::BTreeMap, sync::Arc};

use cactusroad_core::{
    Time,
    config::DataCentre,
    id::Incarnation,
    placement::{Config, Load, MIN_SUBSET, Reason, Request, Status, Table, Vm, prefix_hashes},
};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: Time = Time::from_millis(1_000_000);
const ANY_REQUEST: Request<'_> = Request {
    version: "v",
    prefixes: &[],
    tried: &[],
};

fn status(name: &str) -> Status {
    Status {
        process: name.into(),
        incarnation: Incarnation(1),
        data_centre: "dc-1".into(),
        versions: vec!["v".into()],
        headroom_millis: 1_000,
        limit: 10,
        ..Status::default()
    }
}

fn entries(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|index| format!("entry-{index}").into())
        .collect()
}

/// Returns the table of an entry that has a report from each of `endpoints` idle endpoints.
fn table(entry: &str, entries: &[Arc<str>], endpoints: usize) -> Table {
    let mut table = Table::new(Config::default(), entry.into(), "dc-1".into());
    table.set_entries(entries);
    let reports: Vec<Status> = (0..endpoints)
        .map(|index| status(&format!("agent-{index}")))
        .collect();
    table.observe_all(&reports, NOW);
    table
}

fn subset(table: &Table) -> Vec<Arc<str>> {
    let mut names: Vec<_> = table.subset("v").cloned().collect();
    names.sort();
    names
}

/// Chooses `count` times and counts how often each endpoint was chosen.
fn counts(table: &Table, request: &Request<'_>, count: u64) -> BTreeMap<Arc<str>, u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        let candidate = table.choose(request, rng.random(), NOW).unwrap();
        *counts.entry(candidate.endpoint).or_insert(0) += 1;
    }
    counts
}

#[test]
fn choose_nothing_known() {
    let table = table("entry-0", &[], 0);
    assert_eq!(table.choose(&ANY_REQUEST, 1, NOW), None);
    assert_eq!(table.choose_keyed(&ANY_REQUEST, 1, NOW), None);
}

#[test]
fn choose_all_tried() {
    let table = table("entry-0", &[], 40);
    let mut tried: Vec<Arc<str>> = Vec::new();
    for random in 0..40 {
        let request = Request {
            tried: &tried,
            ..ANY_REQUEST
        };
        let candidate = table.choose(&request, random, NOW).unwrap();
        assert!(!tried.contains(&candidate.endpoint));
        tried.push(candidate.endpoint);
    }
    let request = Request {
        tried: &tried,
        ..ANY_REQUEST
    };
    assert_eq!(table.choose(&request, 1, NOW), None);
}

#[test]
fn choose_excluded_endpoint() {
    type Change = fn(&mut Table);
    let cases: [(&str, Change); 6] = [
        ("reports that it is leaving", |table| {
            table.observe(
                &Status {
                    leaving: true,
                    ..status("agent-0")
                },
                NOW,
            );
        }),
        ("is listed as leaving", |table| {
            let vm = |name: &str, leaving| Vm {
                name: name.into(),
                data_centre: "dc-1".into(),
                leaving,
                ..Vm::default()
            };
            table.set_vms(&[vm("agent-1", false), vm("agent-0", true)]);
        }),
        ("serves another version", |table| {
            let versions = vec!["w".into()];
            table.observe(
                &Status {
                    versions,
                    ..status("agent-0")
                },
                NOW,
            );
        }),
        ("is in a data centre taken out", |table| {
            table.observe(
                &Status {
                    data_centre: "dc-2".into(),
                    ..status("agent-0")
                },
                NOW,
            );
            table.set_data_centres(&[DataCentre {
                name: "dc-2".into(),
                region: "r".into(),
                out: true,
                back_at: None,
            }]);
        }),
        ("is unreachable", |table| table.mark_unreachable("agent-0")),
        ("was removed", |table| table.remove("agent-0")),
    ];
    for (case, change) in cases {
        let mut table = table("entry-0", &[], 2);
        change(&mut table);
        let counts = counts(&table, &ANY_REQUEST, 100);
        assert_eq!(counts.get("agent-0"), None, "{case}");
        assert_eq!(counts.get("agent-1"), Some(&100), "{case}");
        let keyed = (0..100).filter_map(|key| table.choose_keyed(&ANY_REQUEST, key, NOW));
        assert!(
            keyed.into_iter().all(|c| &*c.endpoint == "agent-1"),
            "{case}"
        );
    }
}

#[test]
fn observe_unreachable_endpoint() {
    let mut table = table("entry-0", &[], 1);
    table.mark_unreachable("agent-0");
    assert_eq!(table.choose(&ANY_REQUEST, 1, NOW), None);
    // A report taken before the last one does not make the endpoint reachable again.
    table.observe(&status("agent-0"), Time::from_millis(NOW.as_millis() - 1));
    assert_eq!(table.choose(&ANY_REQUEST, 1, NOW), None);
    table.observe(&status("agent-0"), NOW);
    assert!(table.choose(&ANY_REQUEST, 1, NOW).is_some());
}

#[test]
fn choose_ejected_endpoint() {
    let mut table = table("entry-0", &[], 3);
    table.eject("agent-0", NOW + std::time::Duration::from_secs(1));
    assert_eq!(counts(&table, &ANY_REQUEST, 100).get("agent-0"), None);
    for index in 1..3 {
        table.eject(&format!("agent-{index}"), Time::MAX);
    }
    let candidate = table.choose(&ANY_REQUEST, 1, NOW).unwrap();
    assert_eq!(candidate.reason, Reason::Fallback);
    let later = NOW + std::time::Duration::from_secs(1);
    assert_eq!(
        &*table.choose(&ANY_REQUEST, 1, later).unwrap().endpoint,
        "agent-0"
    );
}

#[test]
fn choose_by_headroom() {
    let cases = [
        (
            "no free memory",
            Status {
                headroom_millis: 0,
                running: 1,
                ..status("agent-0")
            },
        ),
        (
            "at its limit",
            Status {
                running: 10,
                ..status("agent-0")
            },
        ),
        (
            "cold start",
            Status {
                limit: 1,
                running: 1,
                cold: true,
                ..status("agent-0")
            },
        ),
        (
            "long queue",
            Status {
                queued: 9,
                ..status("agent-0")
            },
        ),
    ];
    for (case, busy) in cases {
        let mut table = table("entry-0", &[], 2);
        table.observe(&busy, NOW);
        let counts = counts(&table, &ANY_REQUEST, 1_000);
        // Almost every choice draws both endpoints and compares their load.
        assert!(
            counts[&Arc::<str>::from("agent-1")] > 950,
            "{case}: {counts:?}"
        );
    }
}

#[test]
fn sent_corrects_report() {
    let mut table = table("entry-0", &[], 2);
    let load = |table: &Table, name: &str| {
        let tried: [Arc<str>; 1] = [if name == "agent-0" {
            "agent-1"
        } else {
            "agent-0"
        }
        .into()];
        let request = Request {
            tried: &tried,
            ..ANY_REQUEST
        };
        table.choose(&request, 1, NOW).unwrap().load
    };
    let later = |ms| Time::from_millis(NOW.as_millis() + ms);
    table.record_sent("agent-0", later(10));
    table.record_sent("agent-0", later(20));
    assert_eq!(load(&table, "agent-0"), 0.2);
    // The report includes the first of the two sends.
    table.observe(
        &Status {
            running: 1,
            ..status("agent-0")
        },
        later(15),
    );
    assert_eq!(load(&table, "agent-0"), 0.2);
    // A send that the report includes ends, then one that it does not include.
    table.record_end("agent-0", later(10));
    assert_eq!(load(&table, "agent-0"), 0.1);
    table.record_end("agent-0", later(20));
    assert_eq!(load(&table, "agent-0"), 0.0);
    // A report that arrives late and was taken before the last one is ignored.
    table.observe(
        &Status {
            running: 9,
            ..status("agent-0")
        },
        later(14),
    );
    assert_eq!(load(&table, "agent-0"), 0.0);
    // A restart discards the sends to the earlier incarnation.
    table.record_sent("agent-0", later(30));
    table.observe(
        &Status {
            incarnation: Incarnation(2),
            ..status("agent-0")
        },
        later(20),
    );
    assert_eq!(load(&table, "agent-0"), 0.0);
}

#[test]
fn choose_data_centre_after_return() {
    let mut table = table("entry-0", &[], 2);
    let back = Status {
        data_centre: "dc-2".into(),
        running: 1,
        ..status("agent-0")
    };
    table.observe(&back, NOW);
    table.observe(
        &Status {
            running: 3,
            ..status("agent-1")
        },
        NOW,
    );
    let data_centre = |name: &str, back_at| DataCentre {
        name: name.into(),
        region: "r".into(),
        out: false,
        back_at,
    };
    table.set_data_centres(&[data_centre("dc-1", None), data_centre("dc-2", Some(NOW))]);
    let chosen_count = |seconds| {
        let now = NOW + std::time::Duration::from_secs(seconds);
        (0..100)
            .filter(|&random| {
                &*table.choose(&ANY_REQUEST, random, now).unwrap().endpoint == "agent-0"
            })
            .count()
    };
    assert!(chosen_count(0) < 10);
    assert!(chosen_count(60) > 90);
}

/// A data centre whose return is in the future receives no requests before that time.
#[test]
fn choose_data_centre_before_return() {
    let mut table = table("entry-0", &[], 2);
    let returning = Status {
        data_centre: "dc-2".into(),
        ..status("agent-0")
    };
    table.observe(&returning, NOW);
    let back_at = NOW + std::time::Duration::from_secs(30);
    table.set_data_centres(&[DataCentre {
        name: "dc-2".into(),
        region: "r".into(),
        out: false,
        back_at: Some(back_at),
    }]);
    let is_chosen = |now| {
        let chosen = (0..100).filter_map(|random| table.choose(&ANY_REQUEST, random, now));
        let keyed = (0..100).filter_map(|key| table.choose_keyed(&ANY_REQUEST, key, now));
        chosen
            .chain(keyed)
            .any(|choice| &*choice.endpoint == "agent-0")
    };
    assert!(!is_chosen(NOW + std::time::Duration::from_millis(29_999)));
    assert!(is_chosen(back_at + std::time::Duration::from_secs(60)));
}

#[test]
fn choose_by_prefix() {
    let prefixes = prefix_hashes(&"pattern book ".repeat(200));
    let request = Request {
        prefixes: &prefixes,
        ..ANY_REQUEST
    };
    let mut table = table("entry-0", &[], 20);
    let counted = counts(&table, &request, 100);
    assert_eq!(counted.len(), 1, "{counted:?}");
    let first = Arc::clone(counted.keys().next().unwrap());
    // Entries that know the same endpoints choose the same one.
    let other = self::table("entry-1", &[], 20);
    assert_eq!(counts(&other, &request, 100), counted);
    // If the preferred endpoint is loaded, the prefix moves to the next one in
    // rendezvous order.
    table.observe(
        &Status {
            running: 9,
            ..status(&first)
        },
        NOW,
    );
    let counted = counts(&table, &request, 100);
    assert_eq!(counted.len(), 1, "{counted:?}");
    assert_eq!(counted.get(&first), None);
    // If both preferred endpoints are loaded, affinity is ignored.
    let second = Arc::clone(counted.keys().next().unwrap());
    table.observe(
        &Status {
            running: 9,
            ..status(&second)
        },
        NOW,
    );
    assert!(counts(&table, &request, 100).len() > 10);
}

#[test]
fn subset_even_and_bounded() {
    // (entries, endpoints): the target size, small sites, few entries with many endpoints.
    for (count, endpoints) in [(380, 600), (380, 31), (3, 14), (2, 600), (25, 601), (1, 1)] {
        let names = entries(count);
        let mut uses: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for entry in &names {
            let subset = subset(&table(entry, &names, endpoints));
            // The default subset of 24, or as many as 3 entries per endpoint take.
            let bound = 24.max((endpoints * 3).div_ceil(count)).min(endpoints);
            assert_eq!(
                subset.len(),
                bound,
                "{count} entries, {endpoints} endpoints"
            );
            for name in subset {
                *uses.entry(name).or_default() += 1;
            }
        }
        assert_eq!(uses.len(), endpoints, "each endpoint must be in a subset");
        let least = *uses.values().min().unwrap();
        let most = *uses.values().max().unwrap();
        let mean = uses.values().sum::<usize>() as f64 / endpoints as f64;
        assert!(
            (most - least) as f64 <= 2.0_f64.max(mean * 0.1),
            "{count} entries, {endpoints} endpoints: {least} to {most} subsets per endpoint"
        );
    }
}

#[test]
fn subset_stable_under_churn() {
    let names = entries(380);
    let mut moved = Vec::new();
    for entry in names.iter().step_by(20) {
        let before = subset(&table(entry, &names, 600));
        let endpoint_gone = {
            let mut table = table(entry, &names, 600);
            table.remove("agent-300");
            subset(&table)
        };
        let entry_gone = subset(&table(entry, &names[1..], 600));
        for after in [endpoint_gone, entry_gone] {
            moved.push(after.iter().filter(|name| !before.contains(name)).count());
        }
    }
    assert!(moved.iter().all(|&moved| moved <= 2), "{moved:?}");
}

#[test]
fn choose_keyed_even_and_stable() {
    for endpoints in [3, 14, 64, 600] {
        let mut table = table("entry-0", &[], endpoints);
        let other = self::table("entry-1", &entries(7), endpoints);
        let keys: Vec<u64> = (0..20_000).map(|key: u64| random_key(key)).collect();
        let choose_all = |table: &Table| -> Vec<Arc<str>> {
            let choose = |&key| table.choose_keyed(&ANY_REQUEST, key, NOW).unwrap().endpoint;
            keys.iter().map(choose).collect()
        };
        let before = choose_all(&table);
        assert_eq!(
            before,
            choose_all(&other),
            "entries must choose the same endpoints"
        );
        let mut uses: BTreeMap<&str, usize> = BTreeMap::new();
        for name in &before {
            *uses.entry(name).or_default() += 1;
        }
        let mean = keys.len() as f64 / endpoints as f64;
        let most = *uses.values().max().unwrap() as f64;
        // Five standard deviations of an even distribution.
        assert!(
            most < mean + 5.0 * mean.sqrt(),
            "{endpoints} endpoints: {most} keys at one, {mean} on average"
        );
        table.remove("agent-0");
        let after = choose_all(&table);
        let moved = before
            .iter()
            .zip(&after)
            .filter(|(a, b)| a != b && &***a != "agent-0");
        // Up to 64 endpoints are all compared for each key, so no other key moves.
        let bound = if endpoints <= 64 { 0 } else { keys.len() / 32 };
        assert!(moved.count() <= bound, "{endpoints} endpoints");
    }
}

fn random_key(key: u64) -> u64 {
    ChaCha8Rng::seed_from_u64(key).random()
}

/// Uses a fixed seed, so that every run tests the same cases.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn choose_any_table(
        seed: u64,
        endpoints in 0usize..80,
        entries_count in 1usize..6,
        tried in 0usize..8,
        blocks in 0usize..6,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = table("entry-0", &entries(entries_count), 0);
        let mut open = Vec::new();
        for index in 0..endpoints {
            let name: Arc<str> = format!("agent-{index}").into();
            let report = Status {
                leaving: rng.random_bool(0.2),
                cold: rng.random_bool(0.2),
                headroom_millis: rng.random_range(0..2_000),
                running: rng.random_range(0..50),
                queued: rng.random_range(0..5),
                limit: rng.random_range(0..50),
                ..status(&name)
            };
            table.observe(&report, NOW);
            if rng.random_bool(0.3) {
                table.eject(&name, Time::MAX);
            }
            if !report.leaving {
                open.push(name);
            }
        }
        let tried: Vec<Arc<str>> = open.iter().take(tried).cloned().collect();
        let prefixes: Vec<u64> = (0..blocks).map(|_| rng.random()).collect();
        let request = Request { version: "v", prefixes: &prefixes, tried: &tried };
        let untried = open.len() - tried.len();
        for _ in 0..20 {
            let candidate = table.choose(&request, rng.random(), NOW);
            prop_assert_eq!(candidate.is_some(), untried > 0);
            if let Some(candidate) = candidate {
                prop_assert!(open.contains(&candidate.endpoint));
                prop_assert!(!tried.contains(&candidate.endpoint));
                prop_assert!(candidate.load >= 0.0);
            }
        }
    }
}

/// Returns a VM with the versions that the membership lists for it.
fn listed_vm(name: &str, incarnation: u64, versions: &[&str]) -> Vm {
    Vm {
        name: name.into(),
        data_centre: "dc-1".into(),
        leaving: false,
        incarnation: Incarnation(incarnation),
        versions: versions.iter().map(|&version| version.into()).collect(),
    }
}

#[test]
fn set_vms_versions_without_report() {
    let mut table = Table::new(Config::default(), "entry-1".into(), "dc-1".into());
    let request = |version| Request {
        version,
        prefixes: &[],
        tried: &[],
    };
    table.set_vms(&[listed_vm("agent-0", 0, &[])]);
    assert!(table.needs_connection("agent-0"));
    assert_eq!(table.choose(&request("v"), 1, NOW), None);

    table.set_vms(&[listed_vm("agent-0", 5, &["v"])]);
    let chosen = table.choose(&request("v"), 1, NOW).unwrap();
    assert_eq!(chosen.incarnation, Incarnation(5));

    table.set_vms(&[listed_vm("agent-0", 6, &["w"])]);
    assert_eq!(table.choose(&request("v"), 1, NOW), None);
    // Membership data of an earlier incarnation is ignored.
    table.set_vms(&[listed_vm("agent-0", 5, &["v"])]);
    assert_eq!(table.choose(&request("v"), 1, NOW), None);
    assert!(table.choose(&request("w"), 1, NOW).is_some());
}

#[test]
fn needs_connection_unreachable_after_restart() {
    let mut table = Table::new(Config::default(), "entry-1".into(), "dc-1".into());
    table.set_vms(&[listed_vm("agent-0", 5, &["v"])]);
    assert!(table.needs_connection("agent-0"));
    // The membership announces the restart before the old connection is found broken.
    table.set_vms(&[listed_vm("agent-0", 6, &["v"])]);
    table.mark_unreachable("agent-0");
    assert!(!table.is_in_subset("agent-0"));
    assert!(table.needs_connection("agent-0"));
}

#[test]
fn observe_load_earlier_incarnation() {
    let mut table = Table::new(Config::default(), "entry-1".into(), "dc-1".into());
    table.set_vms(&[
        listed_vm("agent-0", 5, &["v"]),
        listed_vm("agent-1", 5, &["v"]),
    ]);
    let full = Load {
        headroom_millis: 0,
        running: 9,
        queued: 9,
        limit: 9,
    };
    let request = Request {
        version: "v",
        prefixes: &[],
        tried: &[],
    };
    table.observe_load("agent-0", Incarnation(4), full, NOW);
    let loads = |table: &Table| -> Vec<f64> {
        // 64 random numbers, spread evenly over the lower half of the range of `u64`.
        let chosen = (0..64).filter_map(|random| table.choose(&request, random << 57, NOW));
        chosen.map(|candidate| candidate.load).collect()
    };
    assert!(loads(&table).iter().all(|&load| load < 1.0));
    table.observe_load("agent-0", Incarnation(5), full, NOW);
    table.observe_load("agent-1", Incarnation(5), full, NOW);
    assert!(loads(&table).iter().all(|&load| load >= 1.0));
}

#[test]
fn subset_links_bounded_over_versions() {
    // The users' target size: 600 endpoints of 19 versions behind 380 entries.
    let vms: Vec<Vm> = (0..600)
        .map(|index| listed_vm(&format!("agent-{index}"), 1, &[&format!("v{}", index % 19)]))
        .collect();
    let entries: Vec<Arc<str>> = (0..380)
        .map(|index| format!("entry-{index}").into())
        .collect();
    let mut table = Table::new(Config::default(), entries[7].clone(), "dc-1".into());
    table.set_entries(&entries);
    table.set_vms(&vms);
    let links = vms.iter().filter(|vm| table.is_in_subset(&vm.name)).count();
    assert!(links <= Config::default().links, "{links} links");
    for version in 0..19 {
        let subset = table.subset(&format!("v{version}")).count();
        assert!(
            subset >= MIN_SUBSET,
            "{subset} endpoints of version {version}"
        );
    }
}
