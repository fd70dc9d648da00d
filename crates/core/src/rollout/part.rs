//! Reports split into parts that fit a small message.
//!
//! The gossip between processes carries items of at most one kilobyte, and a newer
//! item replaces the older one under the same key. A [`Report`] is larger, so it is
//! sent as one [`Part`] for each span of time and each group of counters. Parts may
//! arrive in any order and stem from different reports. Each part is complete in
//! itself, so a report joined from such a mixture is only less recent in places.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::evidence::{Counters, GROUPS, Report, WINDOWS_MS, Window};
use crate::id::Incarnation;

/// The span of time that a part covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// A step, by its index.
    Step(usize),
    /// A window of the first length in [`WINDOWS_MS`], by its index.
    Short(u64),
    /// A window of the second length in [`WINDOWS_MS`], by its index.
    Long(u64),
    /// The baseline since the start.
    #[serde(rename = "old")]
    Baseline,
}

/// One group of the counters of a report over one span of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The name of the plan.
    pub plan: Arc<str>,
    /// The process that counted the requests.
    pub source: Arc<str>,
    /// The incarnation of the source.
    pub incarnation: Incarnation,
    /// The sequence number of the report.
    pub sequence: u64,
    /// The span of time.
    pub span: Span,
    /// The index of the group of counters.
    pub group: usize,
    /// For each nonzero count, its distance from the previous one and the count itself.
    pub counts: Vec<u32>,
}

impl Part {
    /// Returns the key of this part under its plan and source; a newer part with the same key
    /// replaces this one.
    pub fn slot(&self) -> String {
        let span = match self.span {
            Span::Step(_) => "step",
            Span::Short(_) => "short",
            Span::Long(_) => "long",
            Span::Baseline => "old",
        };
        format!("{span}-{}", self.group)
    }
}

/// Splits a report into parts, omitting groups whose counts are all zero.
///
/// Only the newer window of each length is included.
pub fn split(plan: &Arc<str>, report: &Report) -> Vec<Part> {
    let [short, long] = &report.windows;
    let spans = [
        (Span::Step(report.step), &report.in_step),
        (Span::Short(short[0].number), &short[0].counters),
        (Span::Long(long[0].number), &long[0].counters),
        (Span::Baseline, &report.baseline),
    ];
    let mut parts = Vec::new();
    for (span, counters) in spans {
        for group in 0..GROUPS {
            let counts = counters.encode_group(group);
            if !counts.is_empty() {
                parts.push(Part {
                    plan: plan.clone(),
                    source: report.source.clone(),
                    incarnation: report.incarnation,
                    sequence: report.sequence,
                    span,
                    group,
                    counts,
                });
            }
        }
    }
    parts
}

/// Joins the parts of one source, ignoring those of an earlier incarnation, step or window.
///
/// Returns `None` if there are no parts.
pub fn join(parts: &[Part]) -> Option<Report> {
    let incarnation = parts.iter().map(|part| part.incarnation).max()?;
    let current = || parts.iter().filter(|part| part.incarnation == incarnation);
    let newest = |number: fn(&Span) -> Option<u64>| {
        let numbers = current().filter_map(|part| number(&part.span));
        numbers.max().unwrap_or(0)
    };
    let step = current().filter_map(|part| match part.span {
        Span::Step(step) => Some(step),
        _ => None,
    });
    let step = step.max().unwrap_or(0);
    let numbers = [
        newest(|span| match span {
            Span::Short(number) => Some(*number),
            _ => None,
        }),
        newest(|span| match span {
            Span::Long(number) => Some(*number),
            _ => None,
        }),
    ];
    let counters = |span: Span| {
        let mut counters = Counters::default();
        for part in current().filter(|part| part.span == span) {
            counters.decode_group(part.group, &part.counts);
        }
        counters
    };
    let window = |number: u64, span: Span| Window {
        number,
        counters: counters(span),
    };
    let windows: [[Window; 2]; WINDOWS_MS.len()] = [
        [
            window(numbers[0], Span::Short(numbers[0])),
            Window::default(),
        ],
        [
            window(numbers[1], Span::Long(numbers[1])),
            Window::default(),
        ],
    ];
    Some(Report {
        source: parts.first()?.source.clone(),
        incarnation,
        sequence: current().map(|part| part.sequence).max()?,
        step,
        in_step: counters(Span::Step(step)),
        windows,
        baseline: counters(Span::Baseline),
    })
}
