//! Integration tests: the whole path, its outside systems and what goes wrong.

mod adapters;
mod caller;
mod input;
mod path;
