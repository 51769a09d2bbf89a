//! File operations of the data folder, with fault injection.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

use super::StorageError;

/// A file operation that is about to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileOp<'a> {
    /// Appends `len` bytes to the file.
    Write {
        /// The file.
        name: &'a str,
        /// Number of bytes.
        len: usize,
    },
    /// Syncs the file.
    Sync {
        /// The file.
        name: &'a str,
    },
    /// Syncs the folder, which makes new and renamed files durable.
    SyncFolder,
    /// Renames the file to its final name.
    Rename {
        /// The final name.
        name: &'a str,
    },
    /// Deletes the file.
    Remove {
        /// The file.
        name: &'a str,
    },
}

/// The outcome of a file operation, as decided by the fault injector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileOpOutcome {
    /// The operation runs.
    Proceed,
    /// The operation is skipped and reported as successful.
    Skip,
    /// Only this many bytes are written, then the operation fails as on a full disk.
    Short(usize),
    /// The operation fails.
    Fail(io::ErrorKind),
}

/// Decides the outcome of every operation. Outside of tests, all operations proceed.
pub type FaultInjector = Box<dyn FnMut(FileOp<'_>) -> FileOpOutcome + Send>;

/// The data folder.
pub(super) struct Files {
    dir: PathBuf,
    injector: FaultInjector,
    /// Locked for as long as the folder is in use.
    lock: File,
}

impl Drop for Files {
    /// Unlocks explicitly: a child process that another thread is starting may briefly hold a copy
    /// of the file descriptor, which keeps the lock after the file is closed.
    fn drop(&mut self) {
        let _ = self.lock.unlock();
    }
}

/// A file that is open for writing.
#[derive(Debug)]
pub(super) struct OpenFile {
    pub(super) name: String,
    file: File,
    inode: u64,
}

fn io_error(operation: &'static str, name: &str, source: io::Error) -> StorageError {
    let name = name.to_owned();
    match source.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StorageError::Full {
            operation,
            name,
            source,
        },
        _ => StorageError::Io {
            operation,
            name,
            source,
        },
    }
}

impl Files {
    /// Creates the folder if it is missing, and locks it.
    pub(super) fn open(dir: &Path, injector: FaultInjector) -> Result<Self, StorageError> {
        let name = dir.to_string_lossy();
        fs::create_dir_all(dir).map_err(|e| io_error("create", &name, e))?;
        if let Some(parent) = dir.parent() {
            // Makes a new folder durable. If the parent can't be opened, this process has not
            // created the folder in it.
            let _ = File::open(parent).and_then(|f| f.sync_all());
        }
        let lock = OpenOptions::new()
            .create(true)
            .append(true)
            .open(dir.join("lock"))
            .map_err(|e| io_error("open", "lock", e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StorageError::InUse),
            Err(TryLockError::Error(e)) => return Err(io_error("lock", "lock", e)),
        }
        Ok(Self {
            dir: dir.to_owned(),
            injector,
            lock,
        })
    }

    /// The names of all files in the folder, sorted.
    pub(super) fn list(&self) -> Result<Vec<String>, StorageError> {
        let failed = |e| io_error("list", "the folder", e);
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.dir).map_err(failed)? {
            let entry = entry.map_err(failed)?;
            names.extend(entry.file_name().into_string());
        }
        names.sort();
        Ok(names)
    }

    pub(super) fn read(&self, name: &str) -> Result<Vec<u8>, StorageError> {
        fs::read(self.dir.join(name)).map_err(|e| io_error("read", name, e))
    }

    /// Creates a file for writing, or truncates it if it exists.
    pub(super) fn create(&self, name: &str) -> Result<OpenFile, StorageError> {
        let failed = |e| io_error("create", name, e);
        let file = File::create(self.dir.join(name)).map_err(failed)?;
        let inode = file.metadata().map_err(failed)?.ino();
        Ok(OpenFile {
            name: name.to_owned(),
            file,
            inode,
        })
    }

    pub(super) fn append(&mut self, file: &mut OpenFile, bytes: &[u8]) -> Result<(), StorageError> {
        let failed = |e| io_error("write", &file.name, e);
        let op = FileOp::Write {
            name: &file.name,
            len: bytes.len(),
        };
        let written = match (self.injector)(op) {
            FileOpOutcome::Proceed => file.file.write_all(bytes),
            FileOpOutcome::Skip => Ok(()),
            FileOpOutcome::Short(len) => file
                .file
                .write_all(&bytes[..len.min(bytes.len())])
                .and(Err(io::ErrorKind::StorageFull.into())),
            FileOpOutcome::Fail(kind) => Err(kind.into()),
        };
        written.map_err(failed)
    }

    /// Overwrites the beginning of a file.
    pub(super) fn overwrite(&self, file: &OpenFile, bytes: &[u8]) -> Result<(), StorageError> {
        let written = file.file.write_all_at(bytes, 0);
        written.map_err(|e| io_error("write", &file.name, e))
    }

    /// Syncs a file and checks that its name still refers to it, since syncing a removed file
    /// succeeds without making anything durable.
    pub(super) fn sync(&mut self, file: &OpenFile) -> Result<(), StorageError> {
        let name = &file.name;
        let failed = |source| StorageError::SyncFailed {
            name: name.clone(),
            source,
        };
        match (self.injector)(FileOp::Sync { name }) {
            FileOpOutcome::Skip => return Ok(()),
            FileOpOutcome::Fail(kind) => return Err(failed(kind.into())),
            FileOpOutcome::Proceed | FileOpOutcome::Short(_) => {
                file.file.sync_data().map_err(failed)?;
            }
        }
        let current = fs::metadata(self.dir.join(name)).map(|m| m.ino());
        match current {
            Ok(inode) if inode == file.inode => Ok(()),
            _ => Err(StorageError::FolderLost { name: name.clone() }),
        }
    }

    pub(super) fn sync_folder(&mut self) -> Result<(), StorageError> {
        let failed = |source| StorageError::SyncFailed {
            name: "the folder".to_owned(),
            source,
        };
        match (self.injector)(FileOp::SyncFolder) {
            FileOpOutcome::Skip => Ok(()),
            FileOpOutcome::Fail(kind) => Err(failed(kind.into())),
            FileOpOutcome::Proceed | FileOpOutcome::Short(_) => {
                let folder = File::open(&self.dir).map_err(failed)?;
                folder.sync_all().map_err(failed)
            }
        }
    }

    /// Writes and syncs a file atomically, through a temporary file.
    pub(super) fn write_atomic(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let mut file = self.create(&format!("{name}.tmp"))?;
        self.append(&mut file, bytes)?;
        self.sync(&file)?;
        let to = self.dir.join(name);
        let renamed = match (self.injector)(FileOp::Rename { name }) {
            FileOpOutcome::Fail(kind) => Err(kind.into()),
            FileOpOutcome::Skip => Ok(()),
            FileOpOutcome::Proceed | FileOpOutcome::Short(_) => {
                fs::rename(self.dir.join(&file.name), to)
            }
        };
        renamed.map_err(|e| io_error("rename", name, e))?;
        self.sync_folder()
    }

    pub(super) fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        let removed = match (self.injector)(FileOp::Remove { name }) {
            FileOpOutcome::Fail(kind) => Err(kind.into()),
            FileOpOutcome::Skip => Ok(()),
            FileOpOutcome::Proceed | FileOpOutcome::Short(_) => {
                fs::remove_file(self.dir.join(name))
            }
        };
        removed.map_err(|e| io_error("remove", name, e))
    }
}
