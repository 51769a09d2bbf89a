//! Collection of a body in buffers whose capacity is accounted for before they are allocated.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::buffered_body::BufferedBody;

/// Capacity of the first buffer of a body without a stated length, in bytes; most need no other.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;
/// Bytes of a body after which each buffer begins. Long bodies have buffers of one size, so that they use the memory again
/// that others have left; larger buffers, or ones that grow, would leave gaps that the allocator keeps.
const BUFFER_BYTES: usize = 16 * 1024;

/// Why a body was not collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum CollectError {
    /// It is longer than allowed.
    #[display("the body is too long")]
    TooLong,
    /// It is broken, or its peer has left.
    #[display("the body is broken")]
    Broken,
    /// There is no memory for it.
    #[display("there is no memory for the body")]
    NoMemory,
}

/// Collects a body of at most `limit` bytes in the buffers that it is received in. `reserve` is called with the bytes of
/// memory that are to be held from then on, and returns whether they may be; a stated length is reserved in full before
/// the first byte is read, so that clients that send slowly are refused at once. Chunks are copied, as each would
/// otherwise hold the whole read that it came with.
///
/// # Errors
/// Returns an error if the body is too long or broken, or if `reserve` refuses memory for it.
///
/// ```
/// use bytes::Bytes;
/// use coltsfootnotch::util::body_buffer::{CollectError, collect_buffers};
/// use http_body_util::Full;
/// # let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// # runtime.block_on(async {
/// let body = || Full::new(Bytes::from_static(b"order"));
/// let mut most = 0;
/// let collected = collect_buffers(body(), 10, |bytes| { most = most.max(bytes); true }).await?;
/// assert_eq!(collected.join(), &b"order"[..]);
/// assert_eq!(most, 5);
/// let too_long = collect_buffers(body(), 4, |_| true).await;
/// assert_eq!(too_long.unwrap_err(), CollectError::TooLong);
/// let refused = collect_buffers(body(), 10, |_| false).await;
/// assert_eq!(refused.unwrap_err(), CollectError::NoMemory);
/// # Ok::<(), CollectError>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub async fn collect_buffers(
    body: impl Body<Data = Bytes>,
    limit: usize,
    mut reserve: impl FnMut(u64) -> bool,
) -> Result<BufferedBody, CollectError> {
    let mut body = std::pin::pin!(body);
    let stated = body.size_hint().exact().unwrap_or(0);
    if stated > limit as u64 {
        return Err(CollectError::TooLong);
    }
    if !reserve(stated) {
        return Err(CollectError::NoMemory);
    }
    let stated = stated as usize;
    let mut bufs = Buffers::new(stated);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Broken)?;
        let Some(mut data) = frame.data_ref().map(|data| &data[..]) else {
            continue;
        };
        if bufs.len() + data.len() > limit {
            return Err(CollectError::TooLong);
        }
        while !data.is_empty() {
            if let Some(more) = bufs.needed_bytes() {
                let capacity = (bufs.capacity() + more).max(stated);
                if !reserve(capacity as u64) {
                    return Err(CollectError::NoMemory);
                }
                bufs.add(more);
            }
            data = bufs.fill(data);
        }
    }
    let body = bufs.finish();
    reserve(body.len() as u64);
    Ok(body)
}

/// The same, joined to one buffer, for which `reserve` is called as well.
///
/// # Errors
/// Returns the same.
pub async fn collect_body(
    body: impl Body<Data = Bytes>,
    limit: usize,
    mut reserve: impl FnMut(u64) -> bool,
) -> Result<Bytes, CollectError> {
    let body = collect_buffers(body, limit, &mut reserve).await?;
    let len = body.len() as u64;
    if !body.is_joined() && !reserve(2 * len) {
        return Err(CollectError::NoMemory);
    }
    let body = body.join();
    reserve(len);
    Ok(body)
}

/// The buffers of a body that is being received.
#[derive(Debug)]
pub(crate) struct Buffers {
    stated: usize,
    full: Vec<Bytes>,
    /// Bytes in the full ones.
    full_bytes: usize,
    last: Vec<u8>,
}

impl Buffers {
    /// Buffers of a body whose length is stated, or not if it is zero.
    pub(crate) fn new(stated: usize) -> Self {
        Self {
            stated,
            full: Vec::new(),
            full_bytes: 0,
            last: Vec::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.full_bytes + self.last.len()
    }

    fn capacity(&self) -> usize {
        self.full_bytes + self.last.capacity()
    }

    /// The capacity of the next buffer, if it is needed for the next byte.
    pub(crate) fn needed_bytes(&self) -> Option<usize> {
        if self.last.len() < self.last.capacity() {
            return None;
        }
        let len = self.len();
        let to_boundary = BUFFER_BYTES - len % BUFFER_BYTES;
        Some(match self.stated.saturating_sub(len) {
            0 if len == 0 => FIRST_BUFFER_BYTES,
            0 => to_boundary,
            left => left.min(to_boundary),
        })
    }

    /// Adds an empty buffer of `bytes` behind a full one.
    pub(crate) fn add(&mut self, bytes: usize) {
        let last = std::mem::replace(&mut self.last, Vec::with_capacity(bytes));
        if !last.is_empty() {
            self.full_bytes += last.len();
            self.full.push(last.into());
        }
    }

    /// Fills the last buffer; returns what doesn't fit.
    pub(crate) fn fill<'d>(&mut self, data: &'d [u8]) -> &'d [u8] {
        let free = self.last.capacity() - self.last.len();
        let (fits, rest) = data.split_at(free.min(data.len()));
        self.last.extend_from_slice(fits);
        rest
    }

    /// The body. Its last buffer is cut to what it holds.
    pub(crate) fn finish(mut self) -> BufferedBody {
        self.last.shrink_to_fit();
        if !self.last.is_empty() {
            self.full.push(self.last.into());
        }
        BufferedBody::from(self.full)
    }
}
