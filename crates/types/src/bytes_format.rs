//! Serialisation of bytes in one piece, for fields of `Vec<u8>` or `Arc<[u8]>`.
//!
//! Without it each byte is an element of its own: a configuration of megabytes, which is encoded some ten times on its way
//! through the control group, kept its leader busy for so long that it was replaced. What is written by a format
//! without types, as `postcard` is, stays the same.
//!
//! ```
//! use serde::{Deserialize, Serialize};
//! #[derive(Serialize, Deserialize)]
//! struct Chunk(#[serde(with = "coltsfootnotch_types::bytes_format")] Vec<u8>);
//! ```

use serde::{Deserializer, Serializer};

/// Serialises bytes.
///
/// # Errors
/// Returns the errors of the serializer.
pub fn serialize<S: Serializer>(
    bytes: &impl AsRef<[u8]>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serde_bytes::serialize(bytes.as_ref(), serializer)
}

/// Deserialises bytes.
///
/// # Errors
/// Returns the errors of the deserializer.
pub fn deserialize<'de, T: From<Vec<u8>>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    serde_bytes::deserialize::<Vec<u8>, D>(deserializer).map(T::from)
}
