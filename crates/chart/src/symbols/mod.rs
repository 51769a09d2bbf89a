//! Enumerations of the names in the embedded charts.
//!
//! Code fires an event by its variant, so that a misspelt name does not compile; the order of the
//! variants is the order in the file, which makes the conversion to an id free. Loading the charts
//! fails when the two disagree.

mod control_member;
mod daemon;
mod host;
mod request;
mod upstream;

pub use control_member::{ControlMemberEvent, ControlMemberState};
pub use daemon::{DaemonEvent, DaemonState};
pub use host::{HostEvent, HostState};
pub use request::{RequestEvent, RequestState};
pub use upstream::{UpstreamEvent, UpstreamState};

macro_rules! symbols {
    ($(#[$doc:meta])* $name:ident, $id:ident { $($variant:ident = $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u8)]
        pub enum $name {
            $(
                #[doc = concat!("`", $text, "`")]
                $variant,
            )+
        }

        impl $name {
            /// Every variant, in the order of the chart.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// The name as the chart writes it.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }

        impl From<$name> for $id {
            fn from(symbol: $name) -> Self {
                Self(symbol as u8)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

pub(crate) use symbols;
