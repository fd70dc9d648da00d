//! Tests of survival curves: accuracy, censored observations, decay and bounds.

use std::sync::Arc;

use cactusroad_core::survival::{Config, Curve, Curves};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Draws a length from a clamped Pareto distribution with a median of 100.
fn draw_length(rng: &mut ChaCha8Rng) -> u32 {
    let share: f64 = rng.random::<f64>().max(1e-6);
    ((50.0 / share) as u32).clamp(1, 30_000)
}

#[test]
fn survive_matches_lengths() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let lengths: Vec<u32> = (0..4_000).map(|_| draw_length(&mut rng)).collect();
    let mut curve = Curve::new(Config::default());
    for &length in &lengths {
        curve.observe(0, length, true);
    }
    for (emitted, more) in [(0, 100), (0, 1_000), (200, 200), (1_000, 3_000)] {
        let reached = lengths.iter().filter(|&&length| length > emitted).count();
        let passed = lengths
            .iter()
            .filter(|&&length| length > emitted + more)
            .count();
        let expected = passed as f64 / reached as f64;
        let found = curve.survive(emitted, more);
        assert!(
            (found - expected).abs() < 0.08,
            "{emitted} {more} {found} {expected}"
        );
    }
}

#[test]
fn survive_counts_running_generations() {
    // One generation in five is long and still running; the finished ones are short.
    let mut curve = Curve::new(Config::default());
    for id in 0..200 {
        if id % 5 == 0 {
            curve.observe(0, 2_000, false);
        } else {
            curve.observe(0, 50, true);
        }
    }
    let long = curve.survive(0, 1_000);
    assert!((0.12..0.28).contains(&long), "{long}");
}

#[test]
fn survive_no_data_is_heavy_tailed() {
    let curve = Curve::new(Config::default());
    assert_eq!(curve.survive(0, 60), 1.0);
    assert!((curve.survive(0, 128) - 0.5).abs() < 0.02);
    assert!((curve.survive(1_000, 1_000) - 0.5).abs() < 0.02);
    assert!(curve.survive(10_000, 1_000) > curve.survive(100, 1_000));
}

#[test]
fn survive_cancelled_is_not_an_end() {
    let mut curve = Curve::new(Config::default());
    for _ in 0..500 {
        curve.observe(0, 100, false);
    }
    assert!(curve.survive(0, 90) > 0.9);
    assert_eq!(curve.ends(), 0);
}

#[test]
fn observe_follows_drift() {
    let config = Config {
        max_exposure: 200.0,
        ..Config::default()
    };
    let mut curve = Curve::new(config);
    for _ in 0..2_000 {
        curve.observe(0, 40, true);
    }
    for _ in 0..1_000 {
        curve.observe(0, 400, true);
    }
    assert!(curve.survive(0, 200) > 0.7, "{}", curve.survive(0, 200));
}

#[test]
fn curves_new_version_starts_from_prior() {
    let mut curves = Curves::new(Config::default(), 8);
    let (route, old, new) = (Arc::from("draft"), Arc::from("v1"), Arc::from("v2"));
    for _ in 0..500 {
        curves.entry(&route, &old).observe(0, 20, true);
    }
    assert!(curves.entry(&route, &old).survive(0, 1_000) < 0.05);
    let prior = Curve::new(Config::default()).survive(0, 1_000);
    assert_eq!(curves.entry(&route, &new).survive(0, 1_000), prior);
    curves.retain(|_, version| version == "v2");
    assert!(curves.get("draft", "v1").is_none());
}

#[test]
fn curves_are_bounded() {
    let mut curves = Curves::new(Config::default(), 4);
    for number in 0..100 {
        let version = Arc::from(format!("v{number}"));
        curves
            .entry(&Arc::from("draft"), &version)
            .observe(0, 10, true);
        assert!(curves.len() <= 4);
    }
    assert!(curves.get("draft", "v99").is_some());
}

proptest! {
    #[test]
    fn survive_is_decreasing_probability(
        lengths in prop::collection::vec((1_u32..200_000, any::<bool>()), 0..200),
        emitted in 0_u32..200_000,
        more in 0_u32..200_000,
    ) {
        let mut curve = Curve::new(Config::default());
        for (length, ended) in lengths {
            curve.observe(0, length, ended);
        }
        let near = curve.survive(emitted, more / 2);
        let far = curve.survive(emitted, more);
        prop_assert!((0.0..=1.0).contains(&far));
        prop_assert!(far <= near + 1e-9);
        // `remaining` returns at most the 2^17 tokens that the bins cover.
        let remaining = curve.remaining(emitted, 0.1);
        prop_assert!(curve.survive(emitted, remaining) <= 0.1 || remaining >= 1 << 17);
    }
}
