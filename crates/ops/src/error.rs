//! Errors of the commands, and their exit codes.

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
    /// Success.
    Done = 0,
    /// The folder has faults.
    Fault = 1,
    /// An argument or a local file is invalid.
    Usage = 2,
    /// Another operator changed the configuration first; nothing was applied.
    Conflict = 3,
    /// The store is unreachable; nothing was applied.
    Unreachable = 4,
    /// The store did not answer, so the configuration may or may not be in force.
    Unsettled = 5,
    /// The store holds an object that this release cannot read.
    Unreadable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The folder has faults.
    #[error("{}", Faults(.0))]
    Faults(Vec<Fault>),
    /// A local file cannot be read or written.
    #[error("{}: {cause}; check the path and its permissions", path.display())]
    File {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the file system.
        cause: std::io::Error,
    },
    /// An argument is invalid.
    #[error("{0}")]
    Argument(String),
    /// Another operator changed the configuration first; nothing was applied.
    #[error("{}", Conflict { expected: *expected, found: *found, changes })]
    Conflict {
        /// The generation that the command expected to be in force.
        expected: Generation,
        /// The generation that is in force.
        found: Generation,
        /// The changes since the expected generation.
        changes: Vec<Change>,
    },
    /// The store is unreachable; nothing was applied.
    #[error("{0}")]
    Store(store::Error),
    /// The store did not answer, so the configuration may or may not be in force.
    #[error(
        "the store did not answer, so generation {generation} may or may not be in force; when \
         the store answers again, run `history` and look for apply id {apply}",
        generation = .generation.0
    )]
    Unsettled {
        /// The generation of the manifest whose write was not answered.
        generation: Generation,
        /// The id of this apply.
        apply: String,
    },
    /// The configuration in the store cannot be read by this release.
    #[error("{0}")]
    Parts(#[from] parts::Error),
    /// A report, an outcome or a manifest in the store cannot be read by this release.
    #[error(
        "cannot read the object `{key}` of the store; check that all processes run the same release"
    )]
    Object {
        /// The key of the object.
        key: String,
    },
    /// A key or certificate cannot be created.
    #[error(
        "cannot create the certificate: {0}; check that the folder contains the site's `ca.key`"
    )]
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
        let mut fields = serializer.serialize_struct("Error", 4)?;
        fields.serialize_field("error", <&'static str>::from(self.exit()))?;
        fields.serialize_field("message", &self.to_string())?;
        match self {
            Error::Faults(faults) => fields.serialize_field("faults", faults)?,
            _ => fields.skip_field("faults")?,
        }
        match self {
            Error::Conflict { changes, .. } => fields.serialize_field("changes", changes)?,
            _ => fields.skip_field("changes")?,
        }
        fields.end()
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
