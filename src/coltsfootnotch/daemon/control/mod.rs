//! The control role: one member of the replicated log, and the relay of its failure domain.
//!
//! One actor on the daemon's event loop owns all state. Tasks that own sockets and the thread that owns
//! the data folder send it [`input::Input`]s; it sends messages over the connections and work to the
//! folder's thread.
//!
//! | data | modules |
//! |---|---|
//! | proposals, confirmed reads, membership changes | tracked by `request_table`; executed by `replica` on the leader, forwarded to the leader by other members |
//! | the log | `replica` passes messages and time to the consensus core, writes through `disk` and applies entries to the state machine |
//! | configurations | applied by `replica`, stored in `config_push`, sent to each host that reports a lower number |
//! | heartbeats, directory, service | kept by `relay` without a quorum; `host_feed` and `relay_feed` track what was sent to each peer |
//!
//! A failed sync stops the daemon, since writes after the last sync may be lost and must not be
//! acknowledged. The daemon doesn't start on damaged data.

mod actor;
mod address_file;
mod atomic_file;
pub mod batcher;
pub mod bootstrap;
mod config;
pub mod config_patches;
pub mod config_push;
mod daemon;
mod disk;
mod epoch;
mod error;
pub mod group_health;
mod handle;
mod host_feed;
mod input;
mod links;
pub mod packet;
mod permissions;
mod relay;
mod relay_feed;
mod replica;
pub mod request_table;
pub mod seeded;
mod status;
mod version_file;

pub use actor::start;
pub use config::ControlConfig;
pub use error::ControlError;
pub use handle::ControlHandle;
