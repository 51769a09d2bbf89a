//! Short waits of requests for which no engine has room at the moment.
//!
//! Reports of engines' load are 100 to 200 ms old, and a prompt may go to few engines only, which are full
//! while others are idle. An entry that refuses at once what it can't place sends callers away for want of
//! the tenth of a second in which those engines have room again. A request therefore waits while it can
//! still begin within its target, and is placed again with each change of the engines' load. One whose
//! turn can't come in time is refused at once.
//!
//! Requests of accounts above their fair share don't wait: their excess would take the turns of others.

mod patience;
mod waiting_line;

pub use patience::{Patience, may_wait};
pub use waiting_line::{Priority, Waiting, WaitingLine};
