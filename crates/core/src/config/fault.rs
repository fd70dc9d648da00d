//! Faults in what operators wrote.

use std::{fmt, sync::Arc};

use serde::{Serialize, Serializer};
use strum::IntoStaticStr;

/// One fault, with the file and field that hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The file that set the field last.
    pub file: Arc<str>,
    /// The path of the field, its names joined by dots; empty for the whole file.
    pub field: Arc<str>,
    /// What is wrong.
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return write!(f, "{}: {}; {}", self.file, self.kind, self.kind.remedy());
        }
        let Fault { file, field, kind } = self;
        write!(f, "{file}: {field}: {kind}; {}", kind.remedy())
    }
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The file name does not set a place in the order.
    #[error("the name of the file does not start with two digits and a dash")]
    FileName,
    /// The file is not JSON.
    #[error("the file is not JSON: {0}")]
    NotJson(String),
    /// A JSON object has the same key twice.
    #[error("the key stands twice in one object")]
    DuplicateKey,
    /// The value is not an object.
    #[error("found {0} where an object must stand")]
    NotObject(&'static str),
    /// The schema has no such section.
    #[error("no section has this name")]
    UnknownSection,
    /// The value does not fit the field, or the schema has no such field.
    #[error("{0}")]
    BadValue(String),
    /// A field without a default is missing.
    #[error("the field is missing")]
    MissingField,
    /// A name is empty or too long.
    #[error("the name is empty, over 256 bytes, or has control characters")]
    BadName,
    /// A name refers to nothing.
    #[error("nothing in `{section}` is named `{name}`")]
    DanglingName {
        /// The section that must hold the name.
        section: &'static str,
        /// The name.
        name: Arc<str>,
    },
    /// The text is not a SHA-256 digest in hexadecimal.
    #[error("found `{0}`, which is not 64 lower-case hexadecimal digits")]
    BadDigest(Arc<str>),
    /// A number must not be zero.
    #[error("found 0")]
    Zero,
    /// The text is not a time.
    #[error("found `{0}`, which is not a time")]
    BadTime(String),
    /// The plan moves a route to the version that it leaves.
    #[error("the plan moves from `{0}` to itself")]
    SameVersion(Arc<str>),
    /// The route does not have either version of its plan.
    #[error("route `{route}` has version `{version}`, which its plan neither leaves nor reaches")]
    OtherVersion {
        /// The route.
        route: Arc<str>,
        /// The version that the route has.
        version: Arc<str>,
    },
    /// Two plans move one route.
    #[error("plan `{0}` moves the same route")]
    SameRoute(Arc<str>),
    /// A plan has no steps.
    #[error("the plan has no steps")]
    NoSteps,
    /// A share is over the whole.
    #[error("found a share of {0} thousandths")]
    BadShare(u16),
    /// The shares do not rise.
    #[error("the share of {share} does not exceed the {before} before it")]
    ShareNotRising {
        /// The share of the step.
        share: u16,
        /// The share of the step before it.
        before: u16,
    },
    /// The steps stop short of the whole.
    #[error("the last step has a share of {0} thousandths, so the move never ends")]
    StepsStopShort(u16),
    /// Two steps are too close to prove the first.
    #[error("the step begins {gap_ms} ms after the one before it, which is too short to prove it")]
    StepTooEarly {
        /// The time between the steps, in milliseconds.
        gap_ms: u64,
    },
    /// The deadline comes before the steps can be proven.
    #[error(
        "the deadline of {deadline} cannot be met: the last step is proven at {possible} at the earliest"
    )]
    DeadlineTooEarly {
        /// The deadline.
        deadline: crate::Time,
        /// The earliest end of the plan.
        possible: crate::Time,
    },
    /// A plan in force has been changed.
    #[error("the plan is in force in another form")]
    PlanChanged,
    /// A plan of this name has ended before.
    #[error("a plan of this name has ended before: {0}")]
    PlanEnded(crate::rollout::End),
    /// A data centre comes back without a ramp.
    #[error("the data centre comes back, but `back_at` is missing or over a minute old")]
    NoRamp,
    /// All data centres are out.
    #[error("every data centre is out, so no request could run")]
    AllOut,
    /// The configuration has no data centre.
    #[error("there is no data centre")]
    NoDataCentre,
    /// A section is too large for one value of the store.
    #[error("the sections without workspaces take {0} bytes, and the store takes a megabyte")]
    TooLarge(usize),
}

impl Kind {
    /// Says what to do about the fault.
    pub const fn remedy(&self) -> &'static str {
        match self {
            Kind::FileName => "rename it in the form `20-name.json`",
            Kind::NotJson(_) => "correct the text at that place",
            Kind::DuplicateKey => "keep one of the two",
            Kind::NotObject(_) => "write a JSON object",
            Kind::UnknownSection => {
                "use `routes`, `versions`, `data_centres`, `workspaces`, `plans` or `settings`"
            }
            Kind::BadValue(_) => "write a value that the field takes, or remove the field",
            Kind::MissingField => "add it",
            Kind::BadName => "choose a name of 1 to 256 printable bytes",
            Kind::DanglingName { .. } => "correct the name, or add what it names",
            Kind::BadDigest(_) => "write the SHA-256 digest of the key, as `sha256sum` prints it",
            Kind::Zero => "write at least 1",
            Kind::BadTime(_) => "write a time such as `2026-12-04T06:00:00Z`",
            Kind::SameVersion(_) => "name two versions",
            Kind::OtherVersion { .. } => "set the route's version to `from`, or remove the plan",
            Kind::SameRoute(_) => "remove the plan that has ended",
            Kind::NoSteps => "add a last step with a share of 1000",
            Kind::BadShare(_) => "write a share from 1 to 1000",
            Kind::ShareNotRising { .. } => "let the shares rise from step to step",
            Kind::StepsStopShort(_) => "add a last step with a share of 1000",
            Kind::StepTooEarly { .. } => "leave at least 30 seconds between steps",
            Kind::DeadlineTooEarly { .. } => "move the deadline or the steps",
            Kind::PlanChanged => "write the change as a plan with another name",
            Kind::PlanEnded(_) => "give the plan another name",
            Kind::NoRamp => "set `back_at` to the time from which its share of load may rise",
            Kind::AllOut => "bring one back before the last goes out",
            Kind::NoDataCentre => "add one to `data_centres`",
            Kind::TooLarge(_) => "remove versions and plans that are no longer used",
        }
    }
}

impl Serialize for Kind {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;

        let mut form = serializer.serialize_struct("Kind", 3)?;
        form.serialize_field("name", <&'static str>::from(self))?;
        form.serialize_field("found", &self.to_string())?;
        form.serialize_field("remedy", self.remedy())?;
        form.end()
    }
}
