//! The `cactusroad` program.
fn main() {}
