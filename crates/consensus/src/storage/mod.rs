//! The data folder of a member: checksummed log segments and snapshots, synced before they count.
//!
//! | file | holds |
//! |---|---|
//! | `identity` | the host and the random identity of this folder |
//! | `log-<batch>.seg` | batches of log work, one frame each; a sync ends a batch |
//! | `snap-<index>.snap` | the newest snapshot |
//! | `synced` | number of the last synced batch, written after each sync and synced at leisure |
//! | `lock` | held while a process uses the folder |
//!
//! Everything written between two syncs is one frame, so a frame that can't be read was either cut
//! short by a crash before its sync ended, or damaged later. It was damaged later when a whole
//! frame follows it, or when `synced` names its batch: then entries that were acknowledged are
//! gone, and the member must not come back with less than it promised. [`Storage::open`] stops
//! with [`StorageError::Corrupt`]. Otherwise nothing in the frame was ever acknowledged, and it is
//! cut off.
//!
//! A failed sync is never tried again: the system may have dropped the pages it could not write,
//! and a second sync would report success without them. Every error leaves the [`Storage`]
//! unusable, and the process has to stop.

mod config;
mod disk;
mod error;
mod files;
mod frame;
mod identity;
mod prepare;
mod recover;
mod segment;
mod snapshot_file;
mod store;
mod watermark;

pub use self::config::StorageConfig;
pub use self::error::StorageError;
pub use self::files::{FaultInjector, FileOp, FileOpOutcome};
pub use self::store::Storage;
