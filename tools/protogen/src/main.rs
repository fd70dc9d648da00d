//! Generates the Rust types in `crates/wire/src` from the files in `crates/wire/proto`.
//!
//! After changing a `.proto` file, run `cargo run -p cactusroad-protogen` from
//! the root of the repository. The generated files are committed, so that
//! building the workspace requires no code generator.

use std::{error::Error, fs, path::Path};

const PROTO_DIR: &str = "crates/wire/proto";
const OUT_FILES: [(&str, &str); 5] = [
    ("cactusroad.inner.rs", "crates/wire/src/generated.rs"),
    ("cactusroad.spread.rs", "crates/wire/src/spread.rs"),
    ("cactusroad.sidecar.rs", "crates/wire/src/sidecar.rs"),
    ("cactusroad.relay.rs", "crates/wire/src/relay.rs"),
    ("cactusroad.duty.rs", "crates/wire/src/duty.rs"),
];

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(
        [
            "inner.proto",
            "spread.proto",
            "sidecar.proto",
            "relay.proto",
            "duty.proto",
        ],
        [PROTO_DIR],
    )?;
    let out_dir = std::env::temp_dir().join("cactusroad-protogen");
    fs::create_dir_all(&out_dir)?;
    prost_build::Config::new()
        .bytes(["."])
        .boxed(".cactusroad.inner.Request.body.open")
        .out_dir(&out_dir)
        .compile_fds(descriptors)?;
    for (generated, committed) in OUT_FILES {
        fs::copy(out_dir.join(generated), Path::new(committed))?;
    }
    Ok(())
}
