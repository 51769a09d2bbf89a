//! Enumerations of the states and events in the embedded charts.
//!
//! Code refers to states and events by variant, so that a misspelt name does not compile. Variants are
//! in file order, so the discriminant is the id; loading the charts fails when the order differs.

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
            /// All variants in file order.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// The name in the chart file.
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
