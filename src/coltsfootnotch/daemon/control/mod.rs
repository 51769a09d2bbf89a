//! The control role: one member of the replicated log, and the relay of its failure domain.
//!
//! Everything that a control daemon knows is owned by one actor on the daemon's event loop. Tasks
//! that own sockets and the thread that owns the data folder hand it [`input::Input`]s; it answers
//! through the connections and the folder's thread.
//!
//! | data | way |
//! |---|---|
//! | proposals, confirmed reads, changes of members | `request_table` holds them; `replica` is asked where this member leads, otherwise the leader over its connection |
//! | the log | `replica` carries messages and time into the consensus core, writes out through `disk`, applies to the state machine |
//! | configurations | applied by `replica`, kept by `config_push`, and sent to each host that reports a lower number |
//! | heartbeats, directory, service | `relay` keeps them without a quorum; `host_feed` and `relay_feed` know what each peer was told |
//!
//! A failed sync ends the daemon: what was written since the last sync may be lost, and a member that
//! went on could forget what it acknowledged. Damage found at the start is reported and the daemon
//! does not start.

mod actor;
mod address_file;
pub mod batcher;
mod config;
pub mod config_push;
mod daemon;
mod disk;
mod epoch;
mod error;
pub mod founding;
pub mod group_health;
mod handle;
mod host_feed;
mod input;
mod kept_file;
mod links;
pub mod packet;
mod permit;
mod relay;
mod relay_feed;
mod replica;
pub mod request_table;
pub mod seeded;
mod status;

pub use actor::start;
pub use config::ControlConfig;
pub use error::ControlError;
pub use handle::ControlHandle;
