//! Which upstreams may go on with a stream that another one began.

mod origin;
mod origins;

pub use origin::StreamOrigin;
pub use origins::{StreamOrigins, group_streams};
