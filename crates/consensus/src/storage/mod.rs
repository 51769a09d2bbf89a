//! Durable storage of a member: a data folder with checksummed log segments and snapshots.
//!
//! | file | content |
//! |---|---|
//! | `identity` | the host and the random identity of the folder |
//! | `log-<batch>.seg` | batches of log work, one frame and one sync each |
//! | `snap-<index>.snap` | the newest snapshot |
//! | `synced` | number of the last synced batch (the watermark), written after each sync |
//! | `lock` | locked while a process uses the folder |
//!
//! Everything written between two syncs is one frame, so an unreadable frame was either torn by a
//! crash before its sync completed or damaged later. It was damaged later if a complete frame
//! follows it or if the watermark includes its batch. Acknowledged entries are then lost, and
//! [`Storage::open`] fails with [`StorageError::Corrupt`]. A torn frame contains nothing that was
//! acknowledged and is truncated.
//!
//! A failed sync is not retried: the operating system may have dropped the dirty pages, and a retry
//! can succeed without them. After any error the [`Storage`] is unusable and the process must stop.

mod config;
mod error;
mod files;
mod format;
mod frame;
mod identity;
mod init;
mod recover;
mod segment;
mod snapshot_file;
mod store;
mod watermark;

pub use self::config::StorageConfig;
pub use self::error::StorageError;
pub use self::files::{FaultInjector, FileOp, FileOpOutcome};
pub use self::store::Storage;
