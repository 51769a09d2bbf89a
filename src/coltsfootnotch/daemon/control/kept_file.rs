//! Small files of the data folder that are replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Replaces the file `name` in `dir`. After a loss of power it holds what it held before or all of `text`.
///
/// # Errors
/// Returns an error when the file can't be written or synced; the one before stays.
pub(super) fn replace(dir: &Path, name: &str, text: &str) -> io::Result<()> {
    let unfinished = dir.join(format!("{name}.new"));
    let mut file = File::create(&unfinished)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&unfinished, dir.join(name))?;
    File::open(dir)?.sync_all()
}

/// The text of the file `name` in `dir`; none while there is no such file.
///
/// # Errors
/// Returns an error when the file is there and can't be read.
pub(super) fn read(dir: &Path, name: &str) -> io::Result<Option<String>> {
    match fs::read_to_string(dir.join(name)) {
        Ok(text) => Ok(Some(text)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}
