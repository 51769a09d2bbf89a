//! Validated names of accounts, hosts, failure domains, regions, pools, upstreams and leases.

use std::borrow::Borrow;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes; bounds the size of messages.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The name is empty.
    #[display("a name is empty")]
    Empty,
    /// The name is longer than 64 bytes.
    #[display("a name has {len} bytes, more than {MAX_NAME_BYTES}")]
    TooLong {
        /// Length of the name, in bytes.
        len: usize,
    },
    /// The name contains a character other than ASCII letters, digits, `.`, `_` and `-`.
    #[display("a name holds the character {found:?}")]
    BadCharacter {
        /// The first character that is not accepted.
        found: char,
    },
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { len: text.len() });
    }
    let accepted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !accepted(*c)) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            /// Returns a [`NameError`] if the text is empty, too long or contains a character other
            /// than ASCII letters, digits, `.`, `_` and `-`.
            ///
            /// ```
            #[doc = concat!("use coltsfootnotch_types::", stringify!($name), ";")]
            #[doc = concat!("assert_eq!(", stringify!($name), "::new(\"kelani-1\")?.as_str(), \"kelani-1\");")]
            #[doc = concat!("assert!(", stringify!($name), "::new(\"a b\").is_err());")]
            /// # Ok::<(), coltsfootnotch_types::NameError>(())
            /// ```
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                let text = text.as_ref();
                check(text)?;
                Ok(Self(text.into()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.as_str()
            }
        }
    };
}

name_type!(
    /// A client account: a client with its own API key and a share of the capacity.
    AccountName
);
name_type!(
    /// A failure domain: hosts that can fail together.
    DomainName
);
name_type!(
    /// A region: failure domains with low latency between them.
    RegionName
);
name_type!(
    /// A host: a machine that runs a process of the fleet.
    HostName
);
name_type!(
    /// A pool: all upstreams of a model or plain service.
    PoolName
);
name_type!(
    /// An upstream: a model engine or a process of a plain service.
    UpstreamName
);
name_type!(
    /// A lease: the exclusive right of a process to do a task, such as sending orders to engines.
    LeaseName
);
