use std::path::Path;

use cactusroad_ops::{folder, view};

/// Each row: an example and its numbers of data centres, workspaces and routes.
#[test]
fn examples_have_no_fault() {
    for (name, data_centres, workspaces, routes) in
        [("consortium", 3, 10, 2), ("institute", 3, 10, 3)]
    {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let folder = folder::read(&root.join(name)).unwrap_or_else(|error| panic!("{error}"));
        let counts = view::count(&folder);
        let found = (counts.data_centres, counts.workspaces, counts.routes);
        assert_eq!(found, (data_centres, workspaces, routes), "{name}");
    }
}

#[test]
fn render_fills_defaults_and_reads_back() {
    let rendered = view::render(&super::folder_with(super::PLAN));
    let text = rendered.to_string();
    assert!(text.contains("\"unproven_share\": 50"), "{text}");
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    super::write(directory.path(), "10-rendered.json", &text);
    let again = folder::read(directory.path()).expect("the rendered configuration has no fault");
    assert_eq!(view::render(&again), rendered);
}
