//! The operators' commands.
//!
//! Each command is a function of its own module, generic over the store, and
//! returns a value that prints for people ([`std::fmt::Display`]) or for scripts
//! ([`serde::Serialize`], with `--json`). [`run`] prints it; an error turns into an
//! [`Exit`]:
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | the command did what it says |
//! | 1 | the folder has faults, each printed with its remedy |
//! | 2 | an argument or a local file is wrong |
//! | 3 | another operator's configuration came first; nothing was applied |
//! | 4 | the store cannot be reached; nothing was applied |
//! | 5 | the store's answer is lost and could not be read back; ask `history` |
//! | 6 | the store holds something that this release cannot read |

pub mod apply;
mod command;
pub mod error;
pub mod folder;
pub mod history;
pub mod keys;
pub mod remote;
pub mod status;
pub mod text;
pub mod view;

pub use command::{Apply, Check, Command, Diff, History, Keys, Render, Status, run};
pub use error::{Error, Exit};
