//! Small files of the data folder that are replaced atomically.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Replaces the file `name` in `dir` atomically: after a power loss it has its old content or `text`.
///
/// # Errors
/// Returns an error when the file can't be written or synced; the old content remains.
pub(super) fn replace(dir: &Path, name: &str, text: &str) -> io::Result<()> {
    let unfinished = dir.join(format!("{name}.new"));
    let mut file = File::create(&unfinished)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&unfinished, dir.join(name))?;
    File::open(dir)?.sync_all()
}

/// Reads the file `name` in `dir`; none if it doesn't exist.
///
/// # Errors
/// Returns an error when the file exists and can't be read.
pub(super) fn read(dir: &Path, name: &str) -> io::Result<Option<String>> {
    match fs::read_to_string(dir.join(name)) {
        Ok(text) => Ok(Some(text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}
