//! Deterministic answers derived from the prompt, which let a caller verify its response.

use coltsfootnotch_wire::announce::PREFIX_BYTES;
use sha2::{Digest, Sha256};

/// Prompt bytes per token, as a rule of thumb for English text.
const BYTES_PER_TOKEN: usize = 4;

fn digest64(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// The id by which a fake identifies a prompt.
pub(crate) fn prompt_id(prompt: &str) -> u64 {
    digest64(prompt.as_bytes())
}

/// The output function of the SplitMix64 generator.
fn mix(seed: u64) -> u64 {
    let z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub(crate) fn token_at(prompt_id: u64, index: u32) -> String {
    let number = mix(prompt_id ^ (u64::from(index) << 32 | u64::from(index)));
    let separator = if index == 0 { "" } else { " " };
    format!("{separator}t{:06x}", number & 0xff_ffff)
}

/// Token `index` of the answer to `prompt`, with a leading space unless it is the first.
#[must_use]
pub fn expected_token(prompt: &str, index: u32) -> String {
    token_at(prompt_id(prompt), index)
}

/// The answer to `prompt`, `max_tokens` long.
///
/// ```
/// use coltsfootnotch_fakes::expected_answer;
/// let answer = expected_answer("cure time of a 3 mm screed?", 4);
/// assert_eq!(answer.split(' ').count(), 4);
/// assert_ne!(answer, expected_answer("another prompt", 4));
/// ```
#[must_use]
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    let id = prompt_id(prompt);
    (0..max_tokens).map(|index| token_at(id, index)).collect()
}

/// Number of tokens that the fake engine counts for `prompt`.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The digest by which cache events identify the prefix of `prompt`.
#[must_use]
pub fn prefix_digest(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    format!("{:016x}", digest64(prefix))
}
