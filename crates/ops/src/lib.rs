//! The operators' commands.
//!
//! Each command is a function in its own module, generic over the store. Its result
//! prints as text ([`std::fmt::Display`]) or, with `--json`, as JSON
//! ([`serde::Serialize`]). [`run`] prints the result and maps an error to an [`Exit`]
//! code:
//!
//! | exit code | meaning |
//! | --- | --- |
//! | 0 | success |
//! | 1 | the folder has faults; each is printed with its remedy |
//! | 2 | an argument or a local file is invalid |
//! | 3 | conflict with another operator's apply; nothing was applied |
//! | 4 | the store is unreachable; nothing was applied |
//! | 5 | the store did not answer, so the result is unknown; check it with `history` |
//! | 6 | the store holds an object that this release cannot read |

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
