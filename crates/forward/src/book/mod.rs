//! Registry of upstreams, built from their announcements.

mod announcement;
mod upstream;
mod upstream_book;

pub use announcement::{Announcement, Stage};
pub use upstream::Upstream;
pub use upstream_book::{News, UpstreamBook};
