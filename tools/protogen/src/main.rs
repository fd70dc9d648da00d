//! Regenerates `crates/wire/src/generated.rs` from `crates/wire/proto/inner.proto`.
//!
//! Run it from the root of the repository after a change to the proto file:
//! `cargo run -p cactusroad-protogen`. The generated file is committed, so that
//! a build of the product needs no generator.

use std::{error::Error, fs, path::Path};

const PROTO_DIR: &str = "crates/wire/proto";
const OUT_FILE: &str = "crates/wire/src/generated.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["inner.proto"], [PROTO_DIR])?;
    let out_dir = std::env::temp_dir().join("cactusroad-protogen");
    fs::create_dir_all(&out_dir)?;
    prost_build::Config::new()
        .bytes(["."])
        .boxed(".cactusroad.inner.Request.body.open")
        .out_dir(&out_dir)
        .compile_fds(descriptors)?;
    fs::copy(out_dir.join("cactusroad.inner.rs"), Path::new(OUT_FILE))?;
    Ok(())
}
