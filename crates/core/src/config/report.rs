//! What the fleet reports of itself to operators.
//!
//! One process at a time, the holder of a lease, gathers the report from its
//! peers and writes it under [`REPORT_KEY`], so that the store's writes do not
//! grow with the fleet. A thousand processes take about 150 KB.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Generation;
use crate::{Time, id::Incarnation, rollout::Reason};

/// The key of the report in the store.
pub const REPORT_KEY: &str = "status/fleet";

/// The fleet as one of its processes sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The process that wrote it.
    pub author: Arc<str>,
    /// When it was written.
    pub written_at: Time,
    /// The processes, sorted by name.
    pub processes: Vec<Process>,
    /// The running plans, sorted by name.
    #[serde(default)]
    pub moves: Vec<Move>,
}

/// One process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// The name in its settings.
    pub name: Arc<str>,
    /// Its life.
    pub incarnation: Incarnation,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// The generation that it runs.
    pub generation: Generation,
    /// When that generation came into force there.
    pub in_force_at: Time,
    /// Whether it has announced that it stops.
    #[serde(default)]
    pub leaving: bool,
}

/// A running plan as the writer of the report sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The plan.
    pub plan: Arc<str>,
    /// The share of the new version, in thousandths.
    pub share: u16,
    /// The number of steps that are proven.
    pub proven: usize,
    /// Why the new version was withdrawn, where it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn: Option<Reason>,
    /// Since when the share has been this.
    pub since: Time,
}
