//! Validation rules that span several objects of a configuration.
//!
//! [`check`] returns every violation with the path of its field. It works on a
//! [`Snapshot`]; [`folder`](super::folder) maps each path back to a file.

use std::time::Duration;

use crate::Time;

use super::{DataCentre, Plan, Route, Snapshot, WHOLE_SHARE, Workspace, fault::Kind, parts};

/// The minimum time between two steps of a plan, in milliseconds. It lets the earlier step
/// be proven, as [`Step`](super::Step) defines it, before the later one starts.
pub const MIN_STEP_MS: u64 = 30_000;

/// The maximum age of `back_at` when a data centre returns to service, in milliseconds.
const MAX_BACK_AT_AGE_MS: u64 = 60_000;
/// The length of a SHA-256 digest in hexadecimal.
const DIGEST_HEX_DIGITS: usize = 64;

/// The path of a field, starting with the name of its section.
pub type Path = Vec<String>;

/// Returns the path and kind of every violation in one configuration.
pub fn check(snapshot: &Snapshot) -> Vec<(Path, Kind)> {
    let mut found = Violations::default();
    for route in &snapshot.routes {
        check_route(snapshot, route, &mut found);
    }
    for workspace in &snapshot.workspaces {
        check_workspace(workspace, &mut found);
    }
    for plan in &snapshot.plans {
        check_plan(snapshot, plan, &mut found);
    }
    check_data_centres(&snapshot.data_centres, &mut found);
    check_limits(snapshot, &mut found);
    let bytes = parts::base_bytes(snapshot);
    if bytes > parts::MAX_PART_BYTES {
        found.add(&[], Kind::TooLarge(bytes));
    }
    found.0
}

/// Returns every violation in the transition from one accepted configuration to the next.
///
/// A plan cannot change while it is in force: processes that have already taken
/// a step of the old plan would disagree with the others. A data centre that
/// returns to service needs a recent `back_at`, from which its share of load
/// ramps up.
pub fn check_transition(before: &Snapshot, after: &Snapshot, now: Time) -> Vec<(Path, Kind)> {
    let mut found = Violations::default();
    for plan in &after.plans {
        match before.plan(&plan.name) {
            Some(current) if current != plan => {
                found.add(&["plans", &plan.name], Kind::PlanChanged);
            }
            Some(_) => {}
            None => check_new_plan(plan, now, &mut found),
        }
    }
    for data_centre in &after.data_centres {
        let name = &*data_centre.name;
        let was_out = before.data_centre(name).is_some_and(|before| before.out);
        let earliest =
            Time::from_micros(now.as_micros().saturating_sub(MAX_BACK_AT_AGE_MS * 1_000));
        let ramps = data_centre.back_at.is_some_and(|at| at >= earliest);
        if was_out && !data_centre.out && !ramps {
            found.add(&["data_centres", name, "back_at"], Kind::NoRamp);
        }
    }
    found.0
}

/// Reports a new plan whose steps, starting now, cannot all be proven before its deadline.
fn check_new_plan(plan: &Plan, now: Time, found: &mut Violations) {
    let min_step = Duration::from_millis(MIN_STEP_MS);
    let earliest_end = plan
        .steps
        .iter()
        .fold(now, |end, step| end.max(step.not_before) + min_step);
    if plan.deadline < earliest_end {
        let kind = Kind::DeadlineTooEarly {
            deadline: plan.deadline,
            earliest_end,
        };
        found.add(&["plans", &plan.name, "deadline"], kind);
    }
}

#[derive(Default)]
struct Violations(Vec<(Path, Kind)>);

impl Violations {
    fn add(&mut self, path: &[&str], kind: Kind) {
        let path = path.iter().map(|&name| name.to_owned()).collect();
        self.0.push((path, kind));
    }
}

fn check_route(snapshot: &Snapshot, route: &Route, found: &mut Violations) {
    let Route { name, version, .. } = route;
    if snapshot.version(version).is_none() {
        let kind = dangling_name("versions", version);
        found.add(&["routes", name, "version"], kind);
    }
    if route.timeout_ms == 0 {
        found.add(&["routes", name, "timeout_ms"], Kind::Zero);
    }
}

fn check_workspace(workspace: &Workspace, found: &mut Violations) {
    let name = &workspace.name;
    if workspace.weight == 0 {
        found.add(&["workspaces", name, "weight"], Kind::Zero);
    }
    if workspace.tokens_per_second == Some(0) {
        found.add(&["workspaces", name, "tokens_per_second"], Kind::Zero);
    }
    for (index, digest) in workspace.key_digests.iter().enumerate() {
        if !is_digest(digest) {
            let path = ["workspaces", name, "key_digests", &index.to_string()];
            found.add(&path, Kind::BadDigest(digest.clone()));
        }
    }
}

fn check_data_centres(data_centres: &[DataCentre], found: &mut Violations) {
    if data_centres.is_empty() {
        found.add(&["data_centres"], Kind::NoDataCentre);
    } else if data_centres.iter().all(|data_centre| data_centre.out) {
        found.add(&["data_centres"], Kind::AllOut);
    }
}

fn check_limits(snapshot: &Snapshot, found: &mut Violations) {
    let limits = &snapshot.settings.limits;
    if limits.max_body_bytes == 0 {
        found.add(&["settings", "limits", "max_body_bytes"], Kind::Zero);
    }
    if limits.max_tokens == 0 {
        found.add(&["settings", "limits", "max_tokens"], Kind::Zero);
    }
}

fn check_plan(snapshot: &Snapshot, plan: &Plan, found: &mut Violations) {
    let name = &*plan.name;
    for (field, version) in [("from", &plan.from), ("to", &plan.to)] {
        if snapshot.version(version).is_none() {
            found.add(&["plans", name, field], dangling_name("versions", version));
        }
    }
    if plan.from == plan.to {
        let kind = Kind::SameVersion(plan.to.clone());
        found.add(&["plans", name, "to"], kind);
    }
    match snapshot.route(&plan.route) {
        None => found.add(
            &["plans", name, "route"],
            dangling_name("routes", &plan.route),
        ),
        Some(route) if route.version != plan.from && route.version != plan.to => {
            let kind = Kind::OtherVersion {
                route: route.name.clone(),
                version: route.version.clone(),
            };
            found.add(&["plans", name, "from"], kind);
        }
        Some(_) => {}
    }
    if let Some(first) = snapshot.plan_of_route(&plan.route)
        && first.name != plan.name
    {
        let kind = Kind::SameRoute(first.name.clone());
        found.add(&["plans", name, "route"], kind);
    }
    if plan.unproven_share == 0 || plan.unproven_share > WHOLE_SHARE {
        let kind = Kind::BadShare(plan.unproven_share);
        found.add(&["plans", name, "unproven_share"], kind);
    }
    check_steps(plan, found);
}

fn check_steps(plan: &Plan, found: &mut Violations) {
    let name = &*plan.name;
    let Some(last) = plan.steps.last() else {
        return found.add(&["plans", name, "steps"], Kind::NoSteps);
    };
    for (index, step) in plan.steps.iter().enumerate() {
        let index = index.to_string();
        if step.share == 0 || step.share > WHOLE_SHARE {
            let kind = Kind::BadShare(step.share);
            found.add(&["plans", name, "steps", &index, "share"], kind);
        }
    }
    for (index, pair) in plan.steps.windows(2).enumerate() {
        let index = (index + 1).to_string();
        let [before, step] = [pair[0], pair[1]];
        if step.share <= before.share {
            let kind = Kind::ShareNotRising {
                share: step.share,
                before: before.share,
            };
            found.add(&["plans", name, "steps", &index, "share"], kind);
        }
        let gap = step.not_before.since(before.not_before);
        if gap < Duration::from_millis(MIN_STEP_MS) {
            let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            let kind = Kind::StepTooEarly { gap_ms };
            found.add(&["plans", name, "steps", &index, "not_before"], kind);
        }
    }
    if last.share < WHOLE_SHARE {
        let kind = Kind::StepsStopShort(last.share);
        found.add(&["plans", name, "steps"], kind);
    }
    let earliest_end = last.not_before + Duration::from_millis(MIN_STEP_MS);
    if plan.deadline < earliest_end {
        let kind = Kind::DeadlineTooEarly {
            deadline: plan.deadline,
            earliest_end,
        };
        found.add(&["plans", name, "deadline"], kind);
    }
}

fn dangling_name(section: &'static str, name: &std::sync::Arc<str>) -> Kind {
    Kind::DanglingName {
        section,
        name: name.clone(),
    }
}

fn is_digest(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_HEX_DIGITS && text.bytes().all(is_digit)
}
