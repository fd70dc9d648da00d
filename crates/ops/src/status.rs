//! The status of the fleet: its generations, data centres and rollout plans.

use std::{fmt, sync::Arc};

use serde::Serialize;
use strum::Display;

use cactusroad_adapter::store::Store;
use cactusroad_core::{
    Time,
    config::{
        Generation, Plan, Snapshot, drain,
        parts::Manifest,
        report::{PlanStatus, REPORT_KEY, Report},
    },
    rollout::{self, End, Outcome, Reason},
};

use crate::{Error, remote, text};

/// The report's age above which the printed status mentions it.
const MAX_REPORT_AGE_MS: u64 = 30_000;

/// The status of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The generation in force.
    pub generation: Generation,
    /// The time of its apply, in RFC 3339.
    pub applied_at: String,
    /// The operator who applied it.
    pub author: Arc<str>,
    /// The age of the fleet's last report, in milliseconds, or `None` if there is no report.
    pub report_age_ms: Option<u64>,
    /// The processes that run each generation, newest generation first.
    pub running: Vec<ProcessGroup>,
    /// The longest time from the apply until a process put it in force, in milliseconds.
    ///
    /// Only processes that run the generation count; `None` if there are none.
    pub in_force_after_ms: Option<u64>,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// The rollout plans.
    pub moves: Vec<RolloutStatus>,
}

/// The processes that run one generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProcessGroup {
    /// The generation.
    pub generation: Generation,
    /// The names of the processes.
    pub processes: Vec<Arc<str>>,
}

/// A data centre and the load that it may receive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DataCentre {
    /// The name of the data centre.
    pub name: Arc<str>,
    /// The share of its normal load, in thousandths.
    pub allowance: u16,
    /// Whether operators have taken it out of service.
    pub out: bool,
}

/// The state of a rollout plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The first step has not started.
    Waiting,
    /// Traffic is shifting from the baseline to the candidate.
    Running,
    /// The candidate has all traffic.
    Done,
    /// The plan was rolled back: the baseline has all traffic.
    Reversed,
}

/// A rollout plan and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RolloutStatus {
    /// The name of the plan.
    pub plan: Arc<str>,
    /// The route.
    pub route: Arc<str>,
    /// The baseline version.
    pub from: Arc<str>,
    /// The candidate version.
    pub to: Arc<str>,
    /// The state of the plan.
    pub state: State,
    /// Whether the store holds the outcome of the plan.
    ///
    /// A plan can be reported as ended before its outcome is written.
    pub recorded: bool,
    /// The candidate's share of the traffic, in thousandths, if known.
    pub share: Option<u16>,
    /// The reason of a rollback.
    pub reason: Option<Reason>,
    /// The start of the current state or, while the plan runs, of the current share, in RFC 3339.
    pub since: String,
    /// The deadline of the plan, in RFC 3339.
    pub deadline: String,
}

/// Reads the status of the fleet.
///
/// # Errors
///
/// Fails if the store is unreachable, holds an object that cannot be read, or no
/// configuration was ever applied.
pub async fn status(store: &impl Store, now: Time) -> Result<Status, Error> {
    let Some((_, manifest)) = remote::manifest(store).await? else {
        let text = "no configuration was ever applied; run `apply DIR --store URL` first";
        return Err(Error::Argument(text.to_owned()));
    };
    let snapshot = remote::snapshot(store, &manifest).await?;
    let report: Option<Report> = remote::object(store, REPORT_KEY).await?;
    let mut moves = Vec::new();
    for plan in &snapshot.plans {
        let key = rollout::outcome_key(&plan.name);
        let outcome = remote::object(store, &key).await?;
        let moves_reported = report.iter().flat_map(|report| &report.moves);
        let reported = moves_reported
            .into_iter()
            .find(|reported| reported.plan == plan.name);
        moves.push(rollout_status(plan, outcome.as_ref(), reported, now));
    }
    Ok(assemble(&manifest, &snapshot, report.as_ref(), moves, now))
}

fn assemble(
    manifest: &Manifest,
    snapshot: &Snapshot,
    report: Option<&Report>,
    moves: Vec<RolloutStatus>,
    now: Time,
) -> Status {
    let data_centre = |data_centre: &cactusroad_core::config::DataCentre| DataCentre {
        name: data_centre.name.clone(),
        allowance: drain::allowance(data_centre, now),
        out: data_centre.out,
    };
    Status {
        generation: manifest.generation,
        applied_at: text::format_time(manifest.applied_at),
        author: manifest.author.clone(),
        report_age_ms: report.map(|report| millis_between(report.written_at, now)),
        running: report.map(running).unwrap_or_default(),
        in_force_after_ms: report.and_then(|report| in_force_after(report, manifest)),
        data_centres: snapshot.data_centres.iter().map(data_centre).collect(),
        moves,
    }
}

fn running(report: &Report) -> Vec<ProcessGroup> {
    let mut groups: Vec<ProcessGroup> = Vec::new();
    for process in &report.processes {
        let generation = process.generation;
        match groups.binary_search_by(|group| generation.cmp(&group.generation)) {
            Ok(at) => groups[at].processes.push(process.name.clone()),
            Err(at) => groups.insert(
                at,
                ProcessGroup {
                    generation,
                    processes: vec![process.name.clone()],
                },
            ),
        }
    }
    groups
}

fn in_force_after(report: &Report, manifest: &Manifest) -> Option<u64> {
    let runs = |process: &&_| -> bool {
        let process: &cactusroad_core::config::report::Process = process;
        process.generation == manifest.generation
    };
    let processes = report.processes.iter().filter(runs);
    processes
        .map(|process| millis_between(manifest.applied_at, process.in_force_at))
        .max()
}

/// Derives the state of a plan from its recorded outcome, the fleet's report and the time.
fn rollout_status(
    plan: &Plan,
    outcome: Option<&Outcome>,
    reported: Option<&PlanStatus>,
    now: Time,
) -> RolloutStatus {
    let first_step_at = plan.steps.first().map_or(Time::MAX, |step| step.not_before);
    let withdrawn = reported.and_then(|reported| reported.withdrawn);
    let (state, since) = match (outcome, reported) {
        (Some(outcome), _) if outcome.end == End::Done => (State::Done, outcome.at),
        (Some(outcome), _) => (State::Reversed, outcome.at),
        (None, Some(reported)) if withdrawn.is_some() => (State::Reversed, reported.since),
        (None, _) if !first_step_at.is_past(now) => (State::Waiting, first_step_at),
        (None, Some(reported)) => (State::Running, reported.since),
        (None, None) => (State::Running, first_step_at),
    };
    let share = match state {
        State::Waiting | State::Reversed => Some(0),
        State::Done => Some(cactusroad_core::config::WHOLE_SHARE),
        State::Running => reported.map(|reported| reported.share),
    };
    RolloutStatus {
        plan: plan.name.clone(),
        route: plan.route.clone(),
        from: plan.from.clone(),
        to: plan.to.clone(),
        state,
        recorded: outcome.is_some(),
        share,
        reason: outcome.and_then(|outcome| outcome.reason).or(withdrawn),
        since: text::format_time(since),
        deadline: text::format_time(plan.deadline),
    }
}

fn millis_between(from: Time, to: Time) -> u64 {
    to.as_millis().saturating_sub(from.as_millis())
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let generation = self.generation.0;
        writeln!(
            f,
            "generation {generation}, applied {} by {}",
            self.applied_at, self.author
        )?;
        match self.report_age_ms {
            None => writeln!(f, "no process has reported yet")?,
            Some(age) if age > MAX_REPORT_AGE_MS => {
                writeln!(f, "the last report is {} s old", age / 1_000)?;
            }
            Some(_) => {}
        }
        for running in &self.running {
            let count = running.processes.len();
            write!(
                f,
                "  generation {}: {count} processes",
                running.generation.0
            )?;
            if running.generation < self.generation {
                write!(f, " behind: {}", running.processes.join(", "))?;
            }
            writeln!(f)?;
        }
        if let Some(delay) = self.in_force_after_ms {
            writeln!(
                f,
                "  in force within {delay} ms of the apply where it is in force"
            )?;
        }
        f.write_str("data centres:")?;
        for data_centre in &self.data_centres {
            write!(f, "\n  {data_centre}")?;
        }
        if self.moves.is_empty() {
            return f.write_str("\nno rollout plans");
        }
        f.write_str("\nrollout plans:")?;
        for plan in &self.moves {
            write!(f, "\n  {plan}")?;
        }
        Ok(())
    }
}

impl fmt::Display for DataCentre {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DataCentre {
            name, allowance, ..
        } = self;
        match (self.out, allowance) {
            (true, _) => write!(f, "{name}: out"),
            (false, 1_000) => write!(f, "{name}: in"),
            (false, _) => write!(f, "{name}: coming back, {allowance} of 1000 of its load"),
        }
    }
}

impl fmt::Display for RolloutStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RolloutStatus {
            plan,
            route,
            from,
            to,
            state,
            ..
        } = self;
        write!(f, "{plan}: {state} since {}", self.since)?;
        if let Some(reason) = self.reason {
            write!(f, " because of {reason}")?;
        }
        write!(f, "; {route} from {from} to {to}")?;
        if let Some(share) = self.share {
            write!(f, ", {share} of 1000 moved")?;
        }
        write!(f, ", deadline {}", self.deadline)?;
        let ended = matches!(self.state, State::Done | State::Reversed);
        if ended && !self.recorded {
            f.write_str("; not recorded in the store yet")?;
        }
        Ok(())
    }
}
