//! The difference between the encoded bodies of two configurations.
//!
//! A patch is a zstd frame with the earlier body as its prefix: what the bodies share takes a few
//! bytes, whatever their format. With an empty earlier body it is the compressed body.

use derive_more::{Display, Error};
use zstd::zstd_safe::{CCtx, CParameter, DCtx, compress_bound, get_error_name};

/// Compression level. Higher ones take several times the processor time for a few percent.
const LEVEL: i32 = 3;

/// Range of the window, as powers of two. The window has to span both bodies; a smaller one hides the
/// start of the earlier body from the end of the later one.
const WINDOW_LOG: std::ops::RangeInclusive<u32> = 10..=25;

/// Most bytes of a body, well above the largest configuration; bounds what a damaged patch can
/// allocate.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Why a patch can't be made or applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PatchError {
    /// The patch doesn't say how long the body is, or it is too long.
    #[display("the length of the body is missing or above {MAX_BODY_BYTES} bytes")]
    Length,
    /// The compression library failed, as it does for a damaged patch or another earlier body.
    #[display("{what}")]
    Codec {
        /// Its message.
        what: &'static str,
    },
}

fn codec_error(code: usize) -> PatchError {
    PatchError::Codec {
        what: get_error_name(code),
    }
}

/// The patch that turns `base` into `body`.
///
/// # Errors
/// Returns an error if the compression library fails.
///
/// ```
/// use coltsfootnotch::core::config_patch;
/// let (base, body) = (b"{\"routes\":[1,2]}".as_slice(), b"{\"routes\":[1,2,3]}".as_slice());
/// let patch = config_patch::diff(base, body)?;
/// assert_eq!(config_patch::apply(base, &patch)?, body);
/// # Ok::<(), config_patch::PatchError>(())
/// ```
pub fn diff(base: &[u8], body: &[u8]) -> Result<Vec<u8>, PatchError> {
    let mut cx = CCtx::create();
    let span = (base.len() + body.len()).next_power_of_two().ilog2();
    let window = span.clamp(*WINDOW_LOG.start(), *WINDOW_LOG.end());
    for param in [
        CParameter::CompressionLevel(LEVEL),
        CParameter::WindowLog(window),
        // Finds the repeats of the earlier body beyond the reach of the level's own search.
        CParameter::EnableLongDistanceMatching(true),
    ] {
        cx.set_parameter(param).map_err(codec_error)?;
    }
    cx.ref_prefix(base).map_err(codec_error)?;
    let mut patch = Vec::with_capacity(compress_bound(body.len()));
    cx.compress2(&mut patch, body).map_err(codec_error)?;
    patch.shrink_to_fit();
    Ok(patch)
}

/// Applies a patch that was made from `base`. The caller has to compare the body's digest, since a patch
/// made from another body may apply as well.
///
/// # Errors
/// Returns an error if the patch is damaged.
pub fn apply(base: &[u8], patch: &[u8]) -> Result<Vec<u8>, PatchError> {
    let len = zstd::zstd_safe::get_frame_content_size(patch);
    let len = len.ok().flatten().ok_or(PatchError::Length)?;
    if len > MAX_BODY_BYTES {
        return Err(PatchError::Length);
    }
    let mut cx = DCtx::create();
    cx.ref_prefix(base).map_err(codec_error)?;
    let mut body = Vec::with_capacity(usize::try_from(len).map_err(|_| PatchError::Length)?);
    cx.decompress(&mut body, patch).map_err(codec_error)?;
    Ok(body)
}
