//! Placeholder until the first measurement lands.

fn main() {}
