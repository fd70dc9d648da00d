//! The status report that operators read from the store.
//!
//! One process at a time, the holder of a lease, collects the state of all
//! processes through gossip and writes it under [`REPORT_KEY`], so the rate of
//! writes to the store does not grow with the number of processes. A report on
//! 1,000 processes takes about 150 KB.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Generation;
use crate::{Time, id::Incarnation, rollout::Reason};

/// The key of the report in the store.
pub const REPORT_KEY: &str = "status/fleet";

/// The state of all processes, as seen by one of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The name of the process that wrote the report.
    pub author: Arc<str>,
    /// When the report was written.
    pub written_at: Time,
    /// The processes, sorted by name.
    pub processes: Vec<Process>,
    /// The progress of the running plans, sorted by name.
    #[serde(default)]
    pub moves: Vec<PlanStatus>,
}

/// The state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// The name from the settings of the process.
    pub name: Arc<str>,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The data centre in which the process runs.
    pub data_centre: Arc<str>,
    /// The generation of the configuration in force at the process.
    pub generation: Generation,
    /// When that generation came into force at the process.
    pub in_force_at: Time,
    /// Whether the process has announced its shutdown.
    #[serde(default)]
    pub leaving: bool,
}

/// The progress of a running plan, as seen by the writer of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStatus {
    /// The name of the plan.
    pub plan: Arc<str>,
    /// The share of the new version, in thousandths.
    pub share: u16,
    /// The number of steps that are proven.
    pub proven: usize,
    /// The reason for the rollback to the old version; `None` if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn: Option<Reason>,
    /// When the share last changed.
    pub since: Time,
}
