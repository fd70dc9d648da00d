//! Why a command failed, and the exit code that tells it to scripts.

use std::{fmt, path::PathBuf, process::ExitCode};

use serde::{Serialize, Serializer, ser::SerializeStruct};
use strum::{Display, IntoStaticStr};

use cactusroad_adapter::store;
use cactusroad_core::config::{Generation, change::Change, fault::Fault, parts};

/// The exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Exit {
    /// The command did what it says.
    Done = 0,
    /// The folder has faults.
    Fault = 1,
    /// An argument or a local file is wrong.
    Usage = 2,
    /// Another operator's configuration came first.
    Conflict = 3,
    /// The store cannot be reached, and nothing was applied.
    Unreachable = 4,
    /// It is not known whether the configuration was applied.
    Unsettled = 5,
    /// The store holds something that this release cannot read.
    Unreadable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder has faults.
    #[error("{}", Faults(.0))]
    Faults(Vec<Fault>),
    /// A local file cannot be read or written.
    #[error("{}: {cause}; check the path and its permissions", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        cause: std::io::Error,
    },
    /// An argument is wrong.
    #[error("{0}")]
    Argument(String),
    /// Another operator's configuration came first.
    #[error("{}", Conflict { expected: *expected, found: *found, changes })]
    Conflict {
        /// The generation that this command started from.
        expected: Generation,
        /// The generation that is in force.
        found: Generation,
        /// What the other operators changed since then.
        changes: Vec<Change>,
    },
    /// The store cannot be reached, and nothing was applied.
    #[error("{0}")]
    Store(store::Error),
    /// It is not known whether the configuration was applied.
    #[error(
        "the store gave no answer, and generation {generation} may be in force or may not; when \
         the store answers, run `history` and look for apply id {apply}",
        generation = .generation.0
    )]
    Unsettled {
        /// The generation that was written.
        generation: Generation,
        /// The id of this apply.
        apply: String,
    },
    /// The store holds something that this release cannot read.
    #[error("{0}")]
    Parts(#[from] parts::Error),
    /// The store holds a report or outcome that this release cannot read.
    #[error("the store's object `{key}` cannot be read; check that all run the same release")]
    Object {
        /// The name of the object.
        key: String,
    },
    /// Certificates cannot be made.
    #[error("the certificate cannot be made: {0}; check that the folder holds a site authority")]
    Certificate(#[from] rcgen::Error),
}

impl Error {
    /// Returns the exit code.
    pub const fn exit(&self) -> Exit {
        match self {
            Error::Faults(_) => Exit::Fault,
            Error::File { .. } | Error::Argument(_) | Error::Certificate(_) => Exit::Usage,
            Error::Conflict { .. } => Exit::Conflict,
            Error::Store(_) => Exit::Unreachable,
            Error::Unsettled { .. } => Exit::Unsettled,
            Error::Parts(_) | Error::Object { .. } => Exit::Unreadable,
        }
    }
}

impl Serialize for Error {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut form = serializer.serialize_struct("Error", 4)?;
        form.serialize_field("error", <&'static str>::from(self.exit()))?;
        form.serialize_field("message", &self.to_string())?;
        match self {
            Error::Faults(faults) => form.serialize_field("faults", faults)?,
            _ => form.skip_field("faults")?,
        }
        match self {
            Error::Conflict { changes, .. } => form.serialize_field("changes", changes)?,
            _ => form.skip_field("changes")?,
        }
        form.end()
    }
}

struct Faults<'a>(&'a [Fault]);

impl fmt::Display for Faults<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in self.0 {
            writeln!(f, "{fault}")?;
        }
        match self.0.len() {
            1 => f.write_str("1 fault"),
            count => write!(f, "{count} faults"),
        }
    }
}

struct Conflict<'a> {
    expected: Generation,
    found: Generation,
    changes: &'a [Change],
}

impl fmt::Display for Conflict<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Conflict {
            expected, found, ..
        } = self;
        writeln!(
            f,
            "generation {} is in force, not {}; another operator changed:",
            found.0, expected.0
        )?;
        for change in self.changes {
            writeln!(f, "  {}", crate::text::Line(change))?;
        }
        write!(
            f,
            "nothing was applied; take these into the folder, run `diff` and apply again"
        )
    }
}
