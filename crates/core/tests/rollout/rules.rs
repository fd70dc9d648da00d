use cactusroad_core::{
    Time,
    id::Incarnation,
    rollout::{
        Action, End, Outcome, Progress, Reason, Rollback, Rollout, Side,
        evidence::{Ending, Loss, Recorder, Report, Tally},
        part::{self, Part, Span},
        share, side,
    },
};

use super::{after, plan, rollout, sample};

fn rollback(at: u64) -> Rollback {
    Rollback {
        at: after(at),
        by: "entry-1".into(),
        reason: Reason::Failures,
    }
}

/// Each row: proven steps, whether rolled back, recorded end, time in seconds, expected share.
#[test]
fn share_cases() {
    let plan = plan(&[(20, 0), (200, 60), (1_000, 120)], 300);
    let rows = [
        (0, false, None, 0, 20),
        (0, false, None, 70, 20),
        (0, false, None, 130, 20),
        (1, false, None, 30, 20),
        (1, false, None, 70, 200),
        (1, false, None, 130, 200),
        (2, false, None, 130, 900),
        (2, false, None, 300, 0),
        (3, false, None, 300, 1_000),
        (3, true, None, 300, 0),
        (3, true, Some(End::Done), 300, 0),
        (0, false, Some(End::Done), 300, 1_000),
        (3, false, Some(End::Reversed), 130, 0),
        (1, true, None, 70, 0),
    ];
    for (proven, is_rolled_back, decided, second, expected) in rows {
        let progress = Progress {
            withdrawn: is_rolled_back.then(|| rollback(1)),
            proven,
            decided,
        };
        let found = share(&plan, &progress, after(second));
        assert_eq!(found, expected, "share of {progress:?} at second {second}");
    }
}

#[test]
fn share_before_first_step_is_zero() {
    let plan = plan(&[(20, 10), (1_000, 60)], 300);
    assert_eq!(share(&plan, &Progress::default(), after(9)), 0);
}

#[test]
fn share_large_first_step_is_bounded_while_unproven() {
    let plan = plan(&[(1_000, 0)], 300);
    assert_eq!(share(&plan, &Progress::default(), after(1)), 50);
}

#[test]
fn side_stays_candidate_while_share_rises() {
    let plan = plan(&[(1_000, 0)], 300);
    for key in 0_u32..2_000 {
        let key = key.to_be_bytes();
        let sides = (0..=1_000)
            .step_by(50)
            .map(|share| side(&plan, share, &key));
        let sides: Vec<Side> = sides.collect();
        assert!(sides.is_sorted_by_key(|side| *side == Side::Candidate));
        assert_eq!((sides[0], sides[20]), (Side::Baseline, Side::Candidate));
    }
    let moved =
        (0_u32..10_000).filter(|key| side(&plan, 200, &key.to_be_bytes()) == Side::Candidate);
    let moved = moved.count();
    assert!(
        (1_800..2_200).contains(&moved),
        "{moved} of 10000 keys moved at a share of 200 in 1000"
    );
}

#[test]
fn share_before_sync_is_zero() {
    let plan = plan(&[(50, 0), (1_000, 60)], 300);
    let mut entry = rollout(&plan, "entry-1", 1);
    assert_eq!(entry.share(after(1)), 0);
    entry.mark_synced();
    assert_eq!(entry.share(after(1)), 50);
}

#[test]
fn tick_rolls_back_after_few_failures() {
    let plan = plan(&[(50, 0), (1_000, 60)], 300);
    let mut entry = rollout(&plan, "entry-1", 1);
    entry.mark_synced();
    for _ in 0..100 {
        entry.record(&sample(Side::Baseline, Ending::Complete), after(1));
    }
    let mut failures = 0;
    while entry.progress().withdrawn.is_none() {
        entry.record(&sample(Side::Candidate, Ending::Failed), after(2));
        failures += 1;
        entry.tick(after(2));
    }
    assert!(
        failures <= 5,
        "rolled back only after {failures} failures without a success"
    );
    assert_eq!(entry.share(after(2)), 0);
}

fn loss(began_at: Option<Time>, ended_at: Time) -> Loss {
    Loss {
        endpoint: Incarnation(7),
        began_at,
        ended_at,
    }
}

/// Guards against a bad version whose answers break off, one after the other, and that counts
/// as one lost endpoint for good. Answers that were sent before a loss and end with it count
/// once, and so does an endpoint that is out of reach.
#[test]
fn recorder_counts_broken_answers() {
    let mut recorder = Recorder::new("entry-1".into(), Incarnation(1));
    let mut record = |loss| {
        recorder.record(
            &sample(Side::Candidate, Ending::EndpointLost(loss)),
            0,
            after(1),
        );
        let cell = recorder.report().in_step.cell(Side::Candidate, 1);
        cell.failed
    };
    assert_eq!(record(loss(Some(after(10)), after(11))), 1);
    // Lost with the first one.
    assert_eq!(record(loss(Some(after(9)), after(12))), 1);
    // Sent later.
    assert_eq!(record(loss(Some(after(12)), after(13))), 2);
    // Still out of reach.
    assert_eq!(record(loss(None, after(40))), 2);
    // Sent before, and broken off by itself: the endpoint was alive.
    assert_eq!(record(loss(Some(after(12)), after(50))), 3);
}

/// An endpoint that dies with many requests open counts as one failure.
#[test]
fn recorder_counts_endpoint_death_once() {
    let mut recorder = Recorder::new("entry-1".into(), Incarnation(1));
    for _ in 0..20 {
        let end = Ending::EndpointLost(loss(Some(after(0)), after(1)));
        recorder.record(&sample(Side::Candidate, end), 0, after(1));
    }
    let cell = recorder.report().in_step.cell(Side::Candidate, 1);
    assert_eq!((cell.total, cell.failed), (20, 1));
}

#[test]
fn report_size_and_round_trip() {
    let mut recorder = Recorder::new("entry-1".into(), Incarnation(1));
    for at in 0..100_000_u32 {
        let mut sample = sample(
            if at % 20 == 0 {
                Side::Candidate
            } else {
                Side::Baseline
            },
            Ending::Complete,
        );
        sample.load = u16::try_from(at % 1_000).expect("below 1000");
        sample.first_token_ms = Some(100 + at % 700);
        sample.token_gap_ms = Some(20 + at % 60);
        recorder.record(&sample, 1, after(u64::from(at / 1_000)));
    }
    let json = serde_json::to_vec(recorder.report()).expect("a report serializes to JSON");
    println!(
        "report size after 100000 requests at four load levels: {} bytes",
        json.len()
    );
    assert!(json.len() < 8_192, "report size is {} bytes", json.len());
    let read: Report = serde_json::from_slice(&json).expect("a report deserializes from its JSON");
    assert_eq!(&read, recorder.report());
}

/// Parts joined in any order restore the report except for older windows, which the tally keeps.
#[test]
fn join_parts_in_any_order() {
    let mut recorder = Recorder::new("entry-1".into(), Incarnation(1));
    let mut tally = Tally::default();
    let plan = "p".into();
    for at in 0..30_000_u32 {
        let side = if at % 20 == 0 {
            Side::Candidate
        } else {
            Side::Baseline
        };
        let mut sample = sample(side, Ending::Complete);
        sample.load = u16::try_from(at % 1_000).expect("below 1000");
        sample.first_token_ms = Some(100 + at % 700);
        sample.token_gap_ms = Some(20 + at % 60);
        recorder.record(&sample, 1, after(u64::from(at / 1_000)));
        if at % 2_000 == 1_999 {
            let mut parts = part::split(&plan, recorder.report());
            let largest = parts.iter().map(|part| {
                serde_json::to_string(part)
                    .expect("a part serializes to JSON")
                    .len()
            });
            assert!(
                largest.max() <= Some(1_024),
                "a part exceeds the size of a gossip item"
            );
            let shift = usize::try_from(at).expect("small") % parts.len();
            parts.rotate_left(shift);
            let joined = part::join(&parts).expect("there are parts");
            assert_eq!(joined.in_step, recorder.report().in_step);
            assert_eq!(
                joined.baseline.cell(Side::Baseline, 1),
                recorder.report().baseline.cell(Side::Baseline, 1)
            );
            tally.merge(&joined);
        }
    }
    let mut whole = Tally::default();
    whole.merge(recorder.report());
    assert_eq!(tally.sum(1, after(29)), whole.sum(1, after(29)));
}

/// Parts of an earlier incarnation, step or window are ignored.
#[test]
fn join_ignores_stale_parts() {
    let mut recorder = Recorder::new("entry-1".into(), Incarnation(1));
    recorder.record(&sample(Side::Candidate, Ending::Failed), 0, after(1));
    let first = part::split(&"p".into(), recorder.report());
    recorder.record(&sample(Side::Candidate, Ending::Complete), 1, after(31));
    let second = part::split(&"p".into(), recorder.report());
    let joined = part::join(&[second.clone(), first.clone()].concat()).expect("parts");
    assert_eq!(joined.in_step.cell(Side::Candidate, 1).failed, 0);
    let mut restarted = Recorder::new("entry-1".into(), Incarnation(2));
    restarted.record(&sample(Side::Candidate, Ending::Complete), 0, after(32));
    let third = part::split(&"p".into(), restarted.report());
    let joined = part::join(&[first, second, third].concat()).expect("parts");
    assert_eq!(&joined, restarted.report());
    assert_eq!(part::join(&[]), None);
}

/// Malformed parts neither panic nor add counts.
#[test]
fn join_malformed_parts() {
    let malformed = Part {
        plan: "p".into(),
        source: "entry-1".into(),
        incarnation: Incarnation(1),
        sequence: u64::MAX,
        span: Span::Short(u64::MAX),
        group: usize::MAX,
        counts: vec![u32::MAX, 1, 0, 7, u32::MAX, 1, 3],
    };
    let in_range_group = Part {
        group: 0,
        ..malformed.clone()
    };
    let joined = part::join(&[malformed, in_range_group]).expect("parts");
    let mut tally = Tally::default();
    tally.merge(&joined);
    let sum = tally.sum(0, after(1));
    assert_eq!(sum.recent[0].cell(Side::Candidate, 0).total, 0);
}

#[test]
fn tally_ignores_stale_and_repeated_reports() {
    let mut recorder = Recorder::new("entry-1".into(), Incarnation(1));
    recorder.record(&sample(Side::Candidate, Ending::Complete), 0, after(1));
    let early = recorder.report().clone();
    recorder.record(&sample(Side::Candidate, Ending::Complete), 0, after(1));
    let late = recorder.report().clone();
    let mut tally = Tally::default();
    for report in [&late, &early, &late] {
        tally.merge(report);
    }
    let sum = tally.sum(0, after(1));
    assert_eq!(sum.in_step.cell(Side::Candidate, 1).total, 2);
}

fn recorded_outcomes(actions: &[Action]) -> Vec<(End, Option<Reason>)> {
    let record = |action: &Action| match action {
        Action::Record(outcome) => Some((outcome.end, outcome.reason)),
        Action::Publish => None,
    };
    actions.iter().filter_map(record).collect()
}

fn tick_until_recorded(entry: &mut Rollout, from: Time) -> (End, Option<Reason>) {
    for ms in (0..20_000).step_by(500) {
        let now = from + std::time::Duration::from_millis(ms);
        if let [found] = recorded_outcomes(&entry.tick(now))[..] {
            return found;
        }
    }
    panic!("no outcome was proposed within 20 s");
}

#[test]
fn tick_reverses_after_missed_deadline() {
    let plan = plan(&[(50, 0), (1_000, 60)], 120);
    let mut entry = rollout(&plan, "entry-1", 1);
    entry.mark_synced();
    assert_eq!((entry.share(after(119)), entry.share(after(120))), (50, 0));
    assert!(
        recorded_outcomes(&entry.tick(after(121))).is_empty(),
        "an outcome was proposed while a proof may still arrive"
    );
    let found = tick_until_recorded(&mut entry, after(125));
    assert_eq!(found, (End::Reversed, Some(Reason::DeadlineMissed)));
}

/// A proof made before the deadline arrives after it while the store is unavailable.
#[test]
fn receive_proof_after_deadline() {
    let plan = plan(&[(50, 0), (1_000, 60)], 120);
    let mut entry = rollout(&plan, "entry-1", 1);
    entry.mark_synced();
    let mut other = rollout(&plan, "entry-2", 1);
    other.mark_synced();
    let mut message = other.message();
    message.progress.proven = 2;
    assert_eq!(entry.share(after(122)), 0);
    entry.receive(&message);
    assert_eq!(entry.share(after(122)), 1_000);
    assert_eq!(
        tick_until_recorded(&mut entry, after(122)),
        (End::Done, None)
    );
}

#[test]
fn decide_ends_plan() {
    let plan = plan(&[(50, 0), (1_000, 60)], 120);
    let mut entry = rollout(&plan, "entry-1", 1);
    entry.mark_synced();
    entry.apply_outcome(&Outcome {
        end: End::Reversed,
        reason: Some(Reason::DeadlineMissed),
        at: after(126),
        author: "entry-2".into(),
    });
    assert_eq!(entry.share(after(61)), 0);
    assert!(entry.tick(after(200)).is_empty());
}
