//! Tests of `config`: reading and validating a folder, and splitting a configuration into parts.

use std::sync::Arc;

use bytes::Bytes;
use cactusroad_core::{
    Time,
    config::{
        Generation, Lookup, Snapshot, Workspace,
        folder::{self, File, Folder},
        parts::{self, Digest, Manifest, Split},
    },
};
use proptest::prelude::*;

const SITE: &str = r#"{
    "versions": {"v1": {"artifact": "drafts-1"}, "v2": {"artifact": "drafts-2"}},
    "routes": {"drafts": {"kind": "model", "version": "v1"}},
    "data_centres": {"sfax": {"region": "sahel"}, "sousse": {"region": "sahel"}}
}"#;

fn file(name: &str, content: &str) -> File {
    File {
        name: name.into(),
        content: Bytes::copy_from_slice(content.as_bytes()),
    }
}

/// Parses times of the form `T+seconds`.
fn time(text: &str) -> Option<Time> {
    let seconds: u64 = text.strip_prefix("T+")?.parse().ok()?;
    Some(Time::from_millis(seconds * 1_000))
}

fn read(files: &[(&str, &str)]) -> Result<Folder, Vec<String>> {
    let files = files.iter().map(|(name, content)| file(name, content));
    folder::read(files.collect(), &time)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

#[test]
fn read_later_file_overrides() {
    let folder = read(&[
        ("20-b.json", r#"{"routes": {"drafts": {"timeout_ms": 5}}}"#),
        ("10-a.json", SITE),
    ])
    .expect("no fault");
    let route = folder
        .snapshot
        .route("drafts")
        .expect("the route is defined");
    assert_eq!((route.timeout_ms, &*route.version), (5, "v1"));
}

#[test]
fn read_null_removes() {
    let patch = r#"{"data_centres": {"sousse": null}}"#;
    let folder = read(&[("10-a.json", SITE), ("20-b.json", patch)]).expect("no fault");
    assert_eq!(folder.snapshot.data_centres.len(), 1);
}

#[test]
fn read_time_text() {
    let patch = r#"{"data_centres": {"sfax": {"back_at": "T+7"}}}"#;
    let folder = read(&[("10-a.json", SITE), ("20-b.json", patch)]).expect("no fault");
    let back_at = folder
        .snapshot
        .data_centre("sfax")
        .and_then(|dc| dc.back_at);
    assert_eq!(back_at, Some(Time::from_millis(7_000)));
}

/// Each row: the second file of a folder, and a part of each fault's message, in order.
#[test]
fn read_faults() {
    let rows: &[(&str, &[&str])] = &[
        ("{", &["20-b.json: the file is not valid JSON"]),
        ("[]", &["20-b.json: expected an object, found an array"]),
        (
            r#"{"routs": {}, "routes": {"drafts": {"versoin": "v2"}}}"#,
            &[
                "20-b.json: routes.drafts.versoin: unknown field",
                "20-b.json: routs: unknown section",
            ],
        ),
        (
            r#"{"routes": {"drafts": {"kind": "modle", "timeout_ms": -1, "idempotent": 3}}}"#,
            &[
                "drafts.idempotent: ",
                "drafts.kind: unknown variant",
                "drafts.timeout_ms: ",
            ],
        ),
        (
            r#"{"routes": {"q": {"kind": "model"}, "r": {"version": "v9", "kind": "model"}}}"#,
            &[
                "routes.q.version: required field is missing",
                "routes.r.version: `v9` is not defined in `versions`",
            ],
        ),
        (
            r#"{"routes": {"drafts": {"priority": 1, "priority": 2}}}"#,
            &["20-b.json: routes.drafts.priority: duplicate key"],
        ),
        (
            r#"{"versions": {"v1": null}}"#,
            &["10-a.json: routes.drafts.version: `v1` is not defined in `versions`"],
        ),
        (
            r#"{"workspaces": {"w": {"key_digests": ["ABC"], "weight": 0}}}"#,
            &[
                "workspaces.w.key_digests.0: expected 64 lowercase hexadecimal digits, found `ABC`",
                "workspaces.w.weight: expected a positive number, found 0",
            ],
        ),
        (
            r#"{"data_centres": {"sfax": {"out": true}, "sousse": {"out": true}}}"#,
            &["20-b.json: data_centres: every data centre is out of service"],
        ),
        (
            r#"{"settings": {"policy": {"objective": "speed"}, "limit": {}}}"#,
            &[
                "settings.limit: unknown field of `settings`",
                "settings.policy.objective: unknown variant",
            ],
        ),
        (
            r#"{"data_centres": {"sfax": {"back_at": "soon"}}}"#,
            &["data_centres.sfax.back_at: expected a time, found `soon`"],
        ),
    ];
    for (content, expected) in rows {
        let faults = read(&[("10-a.json", SITE), ("20-b.json", content)])
            .expect_err(&format!("{content} has faults"));
        assert_eq!(faults.len(), expected.len(), "{content} gave {faults:?}");
        for (fault, expected) in faults.iter().zip(*expected) {
            assert!(fault.contains(expected), "{fault} lacks {expected}");
        }
    }
}

/// Each row: steps as (share, second), the deadline in seconds, and a part of each fault's
/// message. A step takes at least 30 s.
#[test]
fn read_invalid_plans() {
    type Row = (&'static [(u16, u64)], u64, &'static [&'static str]);
    let rows: &[Row] = &[
        (&[(50, 10), (1_000, 100)], 130, &[]),
        (&[], 130, &["no steps"]),
        (&[(50, 10), (1_000, 100)], 129, &["cannot be met"]),
        (
            &[(50, 10), (500, 100)],
            130,
            &["so the rollout never completes"],
        ),
        (&[(50, 10), (1_000, 20)], 130, &["starts 10000 ms after"]),
        (
            &[(50, 10), (40, 60), (1_000, 100)],
            130,
            &["is not greater than the 50 of"],
        ),
        (
            &[(0, 10), (1_001, 100)],
            130,
            &["1000 thousandths, found 0", "1000 thousandths, found 1001"],
        ),
    ];
    for (steps, deadline, expected) in rows {
        let steps = steps
            .iter()
            .map(|(share, second)| format!(r#"{{"share": {share}, "not_before": "T+{second}"}}"#));
        let steps = steps.collect::<Vec<_>>().join(",");
        let plan = format!(
            r#"{{"plans": {{"p": {{"route": "drafts", "from": "v1", "to": "v2",
            "steps": [{steps}], "deadline": "T+{deadline}"}}}}}}"#
        );
        let faults = read(&[("10-a.json", SITE), ("20-b.json", &plan)])
            .err()
            .unwrap_or_default();
        assert_eq!(faults.len(), expected.len(), "{plan} gave {faults:?}");
        for (fault, expected) in faults.iter().zip(*expected) {
            assert!(fault.contains(expected), "{fault} lacks {expected}");
        }
    }
}

#[test]
fn read_two_plans_of_one_route() {
    let plan = r#"{"route": "drafts", "from": "v1", "to": "v2", "deadline": "T+99",
        "steps": [{"share": 1000, "not_before": "T+1"}]}"#;
    let plans = format!(r#"{{"plans": {{"p": {plan}, "q": {plan}}}}}"#);
    let faults = read(&[("10-a.json", SITE), ("20-b.json", &plans)]).expect_err("a fault");
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(
        faults[0].contains("plan `p` is for the same route"),
        "{faults:?}"
    );
}

fn workspaces(count: usize) -> Vec<Workspace> {
    let mut workspaces: Vec<Workspace> = (0..count)
        .map(|index| Workspace {
            name: format!("workspace-{index}").into(),
            weight: 1,
            key_digests: vec![Digest::of(&index.to_be_bytes()).to_string().into()],
            tokens_per_second: None,
        })
        .collect();
    workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    workspaces
}

fn manifest(split: &Split, generation: u64) -> Manifest {
    Manifest {
        generation: Generation(generation),
        previous: Generation(generation - 1),
        base: split.base.digest.clone(),
        buckets: split
            .buckets
            .iter()
            .map(|part| part.digest.clone())
            .collect(),
        apply: "a1".into(),
        author: "operator".into(),
        applied_at: Time::ZERO,
    }
}

fn find_part(split: &Split, digest: &Digest) -> Option<Bytes> {
    let part = split.parts().find(|part| part.digest == *digest)?;
    Some(part.content.clone())
}

fn site(count: usize) -> Snapshot {
    let folder = read(&[("10-a.json", SITE)]).expect("no fault");
    Snapshot {
        workspaces: workspaces(count),
        ..folder.snapshot
    }
}

#[test]
fn split_many_workspaces_fits_store() {
    let snapshot = site(37_000);
    let split = parts::split(&snapshot).expect("the parts fit");
    let largest = split.parts().map(|part| part.content.len()).max();
    assert!(largest <= Some(parts::MAX_PART_BYTES));
    let manifest = manifest(&split, 1);
    assert!(manifest.to_bytes().len() < 16_384, "the manifest is small");
    let joined =
        parts::join(&manifest, |digest| find_part(&split, digest)).expect("no part is missing");
    assert_eq!(joined.workspaces, snapshot.workspaces);
    assert_eq!(
        (joined.routes, joined.plans),
        (snapshot.routes, snapshot.plans)
    );
}

#[test]
fn split_change_touches_one_bucket() {
    let mut snapshot = site(37_000);
    let before = parts::split(&snapshot).expect("the parts fit");
    snapshot.workspaces[7].weight = 2;
    let after = parts::split(&snapshot).expect("the parts fit");
    let changed = before.parts().zip(after.parts()).filter(|(a, b)| a != b);
    assert_eq!(changed.count(), 1);
}

#[test]
fn join_missing_bucket() {
    let snapshot = site(5_000);
    let split = parts::split(&snapshot).expect("the parts fit");
    assert!(split.buckets.len() > 1);
    let manifest = manifest(&split, 3);
    let bucket = parts::bucket("workspace-7", split.buckets.len());
    let digest = &split.buckets[bucket].digest;
    let all_but_one =
        |requested: &Digest| find_part(&split, requested).filter(|_| requested != digest);
    let joined = parts::join(&manifest, all_but_one).expect("the base part is present");
    assert_eq!(joined.lookup("workspace-7"), Lookup::MissingBucket(bucket));
    let whole =
        parts::join(&manifest, |digest| find_part(&split, digest)).expect("no part is missing");
    assert!(matches!(whole.lookup("workspace-7"), Lookup::Found(_)));
    assert_eq!(whole.lookup("nobody"), Lookup::Absent);
}

#[test]
fn join_altered_part_fails() {
    let split = parts::split(&site(1)).expect("the parts fit");
    let manifest = manifest(&split, 1);
    let altered = |_: &Digest| Some(Bytes::from_static(b"{}"));
    let error = parts::join(&manifest, altered).expect_err("the digest differs");
    assert_eq!(error, parts::Error::BadPart(split.base.digest.clone()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Random bytes give faults, never a panic or a partly read folder.
    #[test]
    fn read_any_bytes(content in prop::collection::vec(any::<u8>(), 0..200)) {
        let file = File { name: "10-a.json".into(), content: content.into() };
        let read = folder::read(vec![file], &time);
        prop_assert!(read.is_err(), "random bytes define no data centre");
    }

    /// Splitting and joining preserves the workspaces, whatever their names.
    #[test]
    fn split_join_round_trip(names in prop::collection::btree_set("[^\\x00]{1,20}", 0..40)) {
        let workspace = |name: &String| Workspace {
            name: Arc::from(name.as_str()),
            weight: 3,
            key_digests: Vec::new(),
            tokens_per_second: Some(9),
        };
        let snapshot = Snapshot {
            workspaces: names.iter().map(workspace).collect(),
            ..site(0)
        };
        let split = parts::split(&snapshot).expect("the parts fit");
        let manifest = manifest(&split, 1);
        let joined =
            parts::join(&manifest, |digest| find_part(&split, digest)).expect("no part is missing");
        prop_assert_eq!(joined.workspaces, snapshot.workspaces);
    }
}
