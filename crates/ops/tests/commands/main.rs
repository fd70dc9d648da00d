//! Tests of the operators' commands against an in-memory store.

mod apply;
mod examples;
mod fake;
mod keys;
mod status;

use std::path::Path;

use cactusroad_core::{
    Time,
    config::{Generation, folder::Folder},
};
use cactusroad_ops::{apply::Request, folder};

/// A time before the plans of these tests start.
const NOW: Time = Time::from_millis(1_764_800_000_000);

/// A valid configuration with one route, which [`folder_with`] extends.
const SITE: &str = r#"{
    "versions": {"v1": {"artifact": "drafts-1"}, "v2": {"artifact": "drafts-2"}},
    "routes": {"drafts": {"kind": "model", "version": "v1"}},
    "data_centres": {"sfax": {"region": "sahel"}, "sousse": {"region": "sahel"}}
}"#;

/// A rollout plan for the route of [`SITE`], with one step.
const PLAN: &str = r#"{"plans": {"p": {
    "route": "drafts", "from": "v1", "to": "v2",
    "steps": [{"share": 1000, "not_before": "2030-01-01T00:00:00Z"}],
    "deadline": "2030-01-01T00:10:00Z"
}}}"#;

/// Reads a folder that contains the site and one more file.
fn folder_with(patch: &str) -> Folder {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    write(directory.path(), "10-site.json", SITE);
    write(directory.path(), "20-patch.json", patch);
    folder::read(directory.path()).expect("the folder has no fault")
}

fn write(directory: &Path, name: &str, content: &str) {
    std::fs::write(directory.join(name), content).expect("the file can be written");
}

fn request(id: &str) -> Request {
    Request {
        author: id.into(),
        expected_generation: None,
        id: id.into(),
        now: NOW,
    }
}

fn request_on(id: &str, generation: u64) -> Request {
    Request {
        expected_generation: Some(Generation(generation)),
        ..request(id)
    }
}
