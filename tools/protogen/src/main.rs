//! Regenerates `crates/wire/src/generated.rs` and `spread.rs` beside it from the files in `crates/wire/proto`.
//!
//! Run it from the root of the repository after a change to the proto file:
//! `cargo run -p cactusroad-protogen`. The generated file is committed, so that
//! a build of the product needs no generator.

use std::{error::Error, fs, path::Path};

const PROTO_DIR: &str = "crates/wire/proto";
const OUT_FILES: [(&str, &str); 3] = [
    ("cactusroad.inner.rs", "crates/wire/src/generated.rs"),
    ("cactusroad.spread.rs", "crates/wire/src/spread.rs"),
    ("cactusroad.sidecar.rs", "crates/wire/src/sidecar.rs"),
];

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(
        ["inner.proto", "spread.proto", "sidecar.proto"],
        [PROTO_DIR],
    )?;
    let out_dir = std::env::temp_dir().join("cactusroad-protogen");
    fs::create_dir_all(&out_dir)?;
    prost_build::Config::new()
        .bytes(["."])
        .boxed(".cactusroad.inner.Request.body.open")
        .out_dir(&out_dir)
        .compile_fds(descriptors)?;
    for (made, kept) in OUT_FILES {
        fs::copy(out_dir.join(made), Path::new(kept))?;
    }
    Ok(())
}
