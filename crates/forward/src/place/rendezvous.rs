//! One order of the upstreams for each key, the same at every entry.

/// A number in 0..1 for a key and an upstream. The upstream with the least is the key's home; when
/// one is lost, only its own keys move.
pub(super) fn distance(key: u64, upstream: &str) -> f64 {
    let mut hash = mix(key);
    for chunk in upstream.as_bytes().chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = mix(hash ^ u64::from_le_bytes(word));
    }
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The finaliser of `SplitMix64`: every bit of the input changes half of the output's.
fn mix(input: u64) -> u64 {
    let mut x = input.wrapping_add(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
