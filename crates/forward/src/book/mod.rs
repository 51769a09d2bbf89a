//! Upstreams, by what they announce.

mod announcement;
mod upstream;
mod upstream_book;

pub use announcement::{Announcement, Stage};
pub use upstream::Upstream;
pub use upstream_book::{News, UpstreamBook};
