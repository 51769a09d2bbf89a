//! `coltsfootnotch keys`: generates the fleet's certificate authority and issues keys.
//!
//! Private keys are readable by their owner alone and are overwritten only with `--force`: a host
//! whose key is replaced by accident can't connect to its fleet.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use coltsfootnotch_fabric::{Authority, PeerId};
use coltsfootnotch_manifest::Settings;
use coltsfootnotch_types::prelude::*;

use super::access::{read, read_settings};
use super::error::OpsError;

/// File name, without extension, of the authority's certificate and key.
pub(super) const CA: &str = "ca";
/// File name, without extension, of the operators' certificate and key.
pub(super) const OPERATOR: &str = "operator";
/// File mode of a private key.
const PRIVATE_MODE: u32 = 0o600;
/// File mode of a certificate.
const PUBLIC_MODE: u32 = 0o644;

/// Generates an authority and an operator's key in a folder.
///
/// # Errors
/// Returns an error when a file exists and `force` is not given, or can't be written.
pub fn init(folder: &Path, force: bool, out: &mut impl Write) -> Result<(), OpsError> {
    std::fs::create_dir_all(folder).map_err(|source| OpsError::Write {
        path: folder.to_owned(),
        source,
    })?;
    let authority = Authority::generate()?;
    let key = folder.join(format!("{CA}.key"));
    write(&key, &authority.key(), PRIVATE_MODE, force, out)?;
    let certificate = folder.join(format!("{CA}.pem"));
    write(
        &certificate,
        authority.certificate(),
        PUBLIC_MODE,
        force,
        out,
    )?;
    let operator = HostName::new(OPERATOR).expect("a valid name");
    issue(folder, Role::Operator, &operator, force, out)
}

/// Issues a key, signed by the authority in a folder.
///
/// # Errors
/// Returns an error when there is no authority, or a file exists and `force` is not given.
pub fn issue(
    folder: &Path,
    role: Role,
    host: &HostName,
    force: bool,
    out: &mut impl Write,
) -> Result<(), OpsError> {
    let authority = read_authority(folder)?;
    let peer = PeerId {
        role,
        host: host.clone(),
    };
    let certificate = folder.join(format!("{host}.pem"));
    let key = folder.join(format!("{host}.key"));
    write_keys(&authority, &peer, &certificate, &key, force, out)
}

/// Issues the keys that settings files name, and generates the authority if it does not exist.
/// Existing keys are kept unless `force` is given.
///
/// `paths` are settings files, or folders that contain them directly or in a subfolder `hosts`.
///
/// # Errors
/// Returns an error when settings have findings or a file can't be written.
pub fn issue_for(paths: &[PathBuf], force: bool, out: &mut impl Write) -> Result<(), OpsError> {
    let mut all = Vec::new();
    for path in paths {
        for file in settings_files(path)? {
            all.push(read_settings(&file)?);
        }
    }
    all.iter()
        .try_for_each(|settings| issue_for_settings(settings, force, out))
}

fn issue_for_settings(
    settings: &Settings,
    force: bool,
    out: &mut impl Write,
) -> Result<(), OpsError> {
    let folder = settings.keys.ca.parent().unwrap_or(Path::new(""));
    if !folder.join(format!("{CA}.key")).exists() {
        init(folder, false, out)?;
    }
    let (certificate, key) = (&settings.keys.certificate, &settings.keys.key);
    if key.exists() && !force {
        writeln!(out, "kept {}", key.display())?;
        return Ok(());
    }
    let peer = PeerId {
        role: settings.role,
        host: settings.host.clone(),
    };
    write_keys(
        &read_authority(folder)?,
        &peer,
        certificate,
        key,
        force,
        out,
    )
}

fn write_keys(
    authority: &Authority,
    peer: &PeerId,
    certificate: &Path,
    key: &Path,
    force: bool,
    out: &mut impl Write,
) -> Result<(), OpsError> {
    let issued = authority.issue(peer)?;
    write(key, &issued.key, PRIVATE_MODE, force, out)?;
    write(certificate, &issued.certificate, PUBLIC_MODE, force, out)
}

fn read_authority(folder: &Path) -> Result<Authority, OpsError> {
    let certificate = read(&folder.join(format!("{CA}.pem")))?;
    let key = read(&folder.join(format!("{CA}.key")))?;
    Ok(Authority::from_pem(certificate, &key)?)
}

/// The settings files at a path, sorted by name.
fn settings_files(path: &Path) -> Result<Vec<PathBuf>, OpsError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let hosts = path.join("hosts");
    let folder = if hosts.is_dir() { &hosts } else { path };
    let listed = std::fs::read_dir(folder).and_then(|entries| {
        let paths = entries.map(|entry| entry.map(|entry| entry.path()));
        paths.collect::<io::Result<Vec<_>>>()
    });
    let path = folder.to_owned();
    let mut files = listed.map_err(|source| OpsError::Read { path, source })?;
    files.retain(|file| {
        file.extension()
            .is_some_and(|ext| ext == "jsonc" || ext == "json")
    });
    files.sort();
    Ok(files)
}

/// Writes a file atomically.
fn write(
    path: &Path,
    text: &str,
    mode: u32,
    force: bool,
    out: &mut impl Write,
) -> Result<(), OpsError> {
    if path.exists() && !force {
        return Err(OpsError::Exists {
            path: path.to_owned(),
        });
    }
    let failed = |source| OpsError::Write {
        path: path.to_owned(),
        source,
    };
    // Write to a temporary file first, so that a full disk does not leave a truncated key.
    let mut part = path.as_os_str().to_owned();
    part.push(".part");
    write_new(Path::new(&part), text, mode).map_err(failed)?;
    std::fs::rename(&part, path).map_err(failed)?;
    writeln!(out, "wrote {}", path.display())?;
    Ok(())
}

fn write_new(path: &Path, text: &str, mode: u32) -> io::Result<()> {
    if path.exists() {
        std::fs::remove_file(path)?;
    }
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(path)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()
}
