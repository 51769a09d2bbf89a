//! Rendezvous hashing: an order of upstreams for each key that is the same at every entry.

/// A number from 0 to 1 for a key and an upstream. The upstream with the least number is preferred;
/// when one is lost, only its own keys move.
///
/// ```
/// use coltsfootnotch_forward::place::distance;
/// assert_eq!(distance(7, "spec-1"), distance(7, "spec-1"));
/// assert_ne!(distance(7, "spec-1"), distance(7, "spec-2"));
/// ```
#[must_use]
pub fn distance(key: u64, upstream: &str) -> f64 {
    let mut hash = mix(key);
    for chunk in upstream.as_bytes().chunks(8) {
        let mut block = [0; 8];
        block[..chunk.len()].copy_from_slice(chunk);
        hash = mix(hash ^ u64::from_le_bytes(block));
    }
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The finalizer of `SplitMix64`: flips each output bit with probability one half for any input
/// bit.
fn mix(input: u64) -> u64 {
    let mut x = input.wrapping_add(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
