//! Which upstreams may go on with a stream that another one began.

mod origin;

pub use origin::StreamOrigin;
