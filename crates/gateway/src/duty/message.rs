//! Conversion between the counts of [`cactusroad_core`] and their messages, in which names of
//! workspaces are indices of a table.

use std::sync::Arc;

use cactusroad_core::duty::usage::{Report, Tally};
use cactusroad_wire::duty::{self as wire, Count, Window};

/// The names of workspaces in a message.
#[derive(Default)]
pub(super) struct Names(Vec<Arc<str>>);

impl Names {
    /// Returns the index of a name, and adds the name if it is new.
    fn index(&mut self, name: &Arc<str>) -> u32 {
        let known = self.0.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.0.push(Arc::clone(name));
            self.0.len() - 1
        });
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    pub(super) fn encode_tally(&mut self, tally: &Tally) -> wire::Tally {
        let windows = tally.reports.iter().map(|report| Window {
            id: report.window,
            counts: report
                .counts
                .iter()
                .map(|(name, count)| Count {
                    workspace: self.index(name),
                    count: u32::try_from(*count).unwrap_or(u32::MAX),
                })
                .collect(),
        });
        wire::Tally {
            gateway: tally.gateway.to_string(),
            incarnation: tally.incarnation,
            windows: windows.collect(),
        }
    }

    /// Returns the names for the message.
    pub(super) fn into_table(self) -> Vec<String> {
        self.0.iter().map(|name| name.to_string()).collect()
    }
}

/// Decodes counts. Counts of names that are not in the table are left out.
pub(super) fn decode_tally(tally: wire::Tally, names: &[Arc<str>]) -> Tally {
    let report = |window: Window| {
        let mut counts: Vec<(Arc<str>, u64)> = window
            .counts
            .iter()
            .filter_map(|count| {
                let name = names.get(usize::try_from(count.workspace).ok()?)?;
                Some((Arc::clone(name), u64::from(count.count)))
            })
            .collect();
        counts.sort();
        counts.dedup_by(|a, b| a.0 == b.0);
        Report {
            window: window.id,
            counts,
        }
    };
    let mut reports: Vec<Report> = tally.windows.into_iter().map(report).collect();
    reports.sort_by_key(|report| report.window);
    reports.dedup_by_key(|report| report.window);
    Tally {
        gateway: tally.gateway.into(),
        incarnation: tally.incarnation,
        reports,
    }
}

pub(super) fn decode_names(names: Vec<String>) -> Vec<Arc<str>> {
    names.into_iter().map(Into::into).collect()
}
