//! Small stand-ins for the systems around cactusroad.

pub mod model;
