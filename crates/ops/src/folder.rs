//! The folder of JSON files on the operator's machine.

use std::{fs, path::Path};

use cactusroad_core::config::folder::{self, File, Folder};

use crate::{Error, text};

/// Reads and checks a folder.
///
/// Hidden files, files that do not end in `.json` and files whose name is not UTF-8 are
/// skipped, so a folder may also contain other files, such as notes.
///
/// # Errors
///
/// Returns every fault of the folder, or the error of a file that cannot be read.
pub fn read(directory: &Path) -> Result<Folder, Error> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).map_err(|cause| file_error(directory, cause))? {
        let path = entry.map_err(|cause| file_error(directory, cause))?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        if name.starts_with('.') || !name.ends_with(".json") {
            continue;
        }
        let content = fs::read(&path).map_err(|cause| file_error(&path, cause))?;
        files.push(File {
            name: name.into(),
            content: content.into(),
        });
    }
    if files.is_empty() {
        let text = format!(
            "{} contains no `.json` file; pass the folder of the configuration",
            directory.display()
        );
        return Err(Error::Argument(text));
    }
    folder::read(files, &text::parse_time).map_err(Error::Faults)
}

pub(crate) fn file_error(path: &Path, cause: std::io::Error) -> Error {
    Error::File {
        path: path.to_owned(),
        cause,
    }
}
