//! Faults in the configuration that operators write.

use std::{fmt, sync::Arc};

use serde::{Serialize, Serializer};
use strum::IntoStaticStr;

/// A fault, with its file and field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The last file that sets the field.
    pub file: Arc<str>,
    /// The dotted path of the field; empty for the whole file.
    pub field: Arc<str>,
    /// What is wrong with the field.
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

/// The kind of a fault.
///
/// The names of the variants are serialized in snake case.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The file name does not have the form `NN-name.json`, which sets the order of merging.
    #[error("the file name does not have the form `NN-name.json`")]
    FileName,
    /// The file is not valid JSON.
    #[error("the file is not valid JSON: {0}")]
    NotJson(String),
    /// A JSON object contains the same key twice.
    #[error("duplicate key")]
    DuplicateKey,
    /// The value is not a JSON object.
    #[error("expected an object, found {0}")]
    NotObject(&'static str),
    /// The schema has no section of this name.
    #[error("unknown section")]
    UnknownSection,
    /// The field does not take this value, or the schema has no such field.
    #[error("{0}")]
    BadValue(String),
    /// A field that has no default is missing.
    #[error("required field is missing")]
    MissingField,
    /// A name is empty, too long, or contains control characters.
    #[error("the name is empty, longer than 256 bytes, or contains control characters")]
    BadName,
    /// A name refers to an item that does not exist.
    #[error("`{name}` is not defined in `{section}`")]
    DanglingName {
        /// The section that should define the name.
        section: &'static str,
        /// The undefined name.
        name: Arc<str>,
    },
    /// The text is not a hexadecimal SHA-256 digest.
    #[error("expected 64 lowercase hexadecimal digits, found `{0}`")]
    BadDigest(Arc<str>),
    /// A number that must be positive is zero.
    #[error("expected a positive number, found 0")]
    Zero,
    /// The text is not a time.
    #[error("expected a time, found `{0}`")]
    BadTime(String),
    /// The old and the new version of a plan are the same.
    #[error("`from` and `to` are both `{0}`")]
    SameVersion(Arc<str>),
    /// The route's version is neither version of its plan.
    #[error(
        "route `{route}` has version `{version}`, which is neither `from` nor `to` of its plan"
    )]
    OtherVersion {
        /// The name of the route.
        route: Arc<str>,
        /// The version of the route.
        version: Arc<str>,
    },
    /// Another plan exists for the same route.
    #[error("plan `{0}` is for the same route")]
    SameRoute(Arc<str>),
    /// The plan has no steps.
    #[error("the plan has no steps")]
    NoSteps,
    /// A share is zero or exceeds 1,000 thousandths.
    #[error("expected a share from 1 to 1000 thousandths, found {0}")]
    BadShare(u16),
    /// The share of a step is not greater than that of the previous step.
    #[error("the share of {share} is not greater than the {before} of the previous step")]
    ShareNotRising {
        /// The share of the step.
        share: u16,
        /// The share of the previous step.
        before: u16,
    },
    /// The last step does not reach the full share.
    #[error("the last step has a share of {0} thousandths, so the rollout never completes")]
    StepsStopShort(u16),
    /// A step starts too soon after the previous one for that one to be proven.
    #[error(
        "the step starts {gap_ms} ms after the previous one, too soon for that one to be proven"
    )]
    StepTooEarly {
        /// The time between the steps, in milliseconds.
        gap_ms: u64,
    },
    /// The deadline is before the time at which all steps can be proven.
    #[error(
        "the deadline of {deadline} cannot be met: the steps take at least until {earliest_end}"
    )]
    DeadlineTooEarly {
        /// The deadline of the plan.
        deadline: crate::Time,
        /// The earliest time at which all steps can be proven.
        earliest_end: crate::Time,
    },
    /// A plan differs from the one in force under the same name.
    #[error("the plan differs from the one in force under this name")]
    PlanChanged,
    /// A plan of this name has already ended.
    #[error("a plan of this name has already ended: {0}")]
    PlanEnded(crate::rollout::End),
    /// A data centre returns to service without a time for its ramp.
    #[error(
        "the data centre returns to service, but `back_at` is missing or more than a minute old"
    )]
    NoRamp,
    /// All data centres are out of service.
    #[error("every data centre is out of service, so no request could be served")]
    AllOut,
    /// The configuration has no data centre.
    #[error("no data centre is defined")]
    NoDataCentre,
    /// The sections other than `workspaces` exceed the store's limit on a value.
    #[error("the sections other than `workspaces` take {0} bytes, over the store's limit of 1 MB")]
    TooLarge(usize),
}

impl Kind {
    /// Returns advice on how to correct the fault.
    pub const fn remedy(&self) -> &'static str {
        match self {
            Kind::FileName => "rename the file, for example to `20-name.json`",
            Kind::NotJson(_) => "correct the syntax at that position",
            Kind::DuplicateKey => "remove one of the two",
            Kind::NotObject(_) => "write a JSON object",
            Kind::UnknownSection => {
                "use `routes`, `versions`, `data_centres`, `workspaces`, `plans` or `settings`"
            }
            Kind::BadValue(_) => "correct the value, or remove the field",
            Kind::MissingField => "add the field",
            Kind::BadName => "choose a name of 1 to 256 bytes without control characters",
            Kind::DanglingName { .. } => "correct the name, or define it",
            Kind::BadDigest(_) => "write the SHA-256 digest of the key, as `sha256sum` prints it",
            Kind::Zero => "set it to at least 1",
            Kind::BadTime(_) => "write a time such as `2026-12-04T06:00:00Z`",
            Kind::SameVersion(_) => "name two different versions",
            Kind::OtherVersion { .. } => "set the route's version to `from`, or remove the plan",
            Kind::SameRoute(_) => "remove the plan that has ended",
            Kind::NoSteps => "add a last step with a share of 1000",
            Kind::BadShare(_) => "write a share from 1 to 1000",
            Kind::ShareNotRising { .. } => "increase the share from step to step",
            Kind::StepsStopShort(_) => "add a last step with a share of 1000",
            Kind::StepTooEarly { .. } => "leave at least 30 seconds between steps",
            Kind::DeadlineTooEarly { .. } => "set a later deadline or earlier steps",
            Kind::PlanChanged => "add the changed plan under a new name",
            Kind::PlanEnded(_) => "give the plan a new name",
            Kind::NoRamp => "set `back_at` to the time from which its share of load ramps up",
            Kind::AllOut => "return one to service before taking out the last",
            Kind::NoDataCentre => "add one to `data_centres`",
            Kind::TooLarge(_) => "remove versions and plans that are no longer used",
        }
    }
}

impl Serialize for Kind {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeStruct;

        let mut state = serializer.serialize_struct("Kind", 3)?;
        state.serialize_field("name", <&'static str>::from(self))?;
        state.serialize_field("found", &self.to_string())?;
        state.serialize_field("remedy", self.remedy())?;
        state.end()
    }
}
