//! Collection of a body in buffers whose capacity is accounted for before they are allocated.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Capacity of the first buffer of a body without a stated length, in bytes; most need no other.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;
/// Capacity of its further buffers, in bytes. They have one size, so that bodies of all lengths
/// use the memory again that others have left; a buffer that grows would leave gaps.
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

/// Collects a body of at most `limit` bytes. `reserve` is called with the bytes of memory that are to be held from then
/// on, more or fewer than before, and returns whether they may be; a stated length is reserved in full before the first
/// byte is read, so that clients that send slowly are refused at once. Chunks are copied, as each would otherwise hold the
/// whole read that it came with, and a body of several buffers is joined at its end, for which both are reserved.
///
/// # Errors
/// Returns an error if the body is too long or broken, or if `reserve` refuses memory for it.
///
/// ```
/// use bytes::Bytes;
/// use coltsfootnotch::util::body_buffer::{CollectError, collect_body};
/// use http_body_util::Full;
/// # let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// # runtime.block_on(async {
/// let body = || Full::new(Bytes::from_static(b"order"));
/// let mut most = 0;
/// let collected = collect_body(body(), 10, |bytes| { most = most.max(bytes); true }).await;
/// assert_eq!(collected, Ok(Bytes::from_static(b"order")));
/// assert_eq!(most, 5);
/// assert_eq!(collect_body(body(), 4, |_| true).await, Err(CollectError::TooLong));
/// assert_eq!(collect_body(body(), 10, |_| false).await, Err(CollectError::NoMemory));
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn collect_body(
    body: impl Body<Data = Bytes>,
    limit: usize,
    mut reserve: impl FnMut(u64) -> bool,
) -> Result<Bytes, CollectError> {
    let mut body = std::pin::pin!(body);
    let stated = body.size_hint().exact().unwrap_or(0);
    if stated > limit as u64 {
        return Err(CollectError::TooLong);
    }
    if !reserve(stated) {
        return Err(CollectError::NoMemory);
    }
    let mut bufs = Buffers::with_capacity(stated as usize);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Broken)?;
        let Some(mut data) = frame.data_ref().map(|data| &data[..]) else {
            continue;
        };
        if bufs.len() + data.len() > limit {
            return Err(CollectError::TooLong);
        }
        while !data.is_empty() {
            if bufs.is_full() {
                let more = match bufs.len() {
                    0 => FIRST_BUFFER_BYTES,
                    _ => BUFFER_BYTES,
                };
                if !reserve((bufs.capacity() + more) as u64) {
                    return Err(CollectError::NoMemory);
                }
                bufs.add(more);
            }
            data = bufs.fill(data);
        }
    }
    if bufs.needs_join() && !reserve((bufs.capacity() + bufs.len()) as u64) {
        return Err(CollectError::NoMemory);
    }
    let body = bufs.join();
    reserve(body.len() as u64);
    Ok(body)
}

/// The buffers of a body.
struct Buffers {
    full: Vec<Vec<u8>>,
    /// Bytes in the full ones.
    full_bytes: usize,
    last: Vec<u8>,
}

impl Buffers {
    fn with_capacity(bytes: usize) -> Self {
        Self {
            full: Vec::new(),
            full_bytes: 0,
            last: Vec::with_capacity(bytes),
        }
    }

    fn len(&self) -> usize {
        self.full_bytes + self.last.len()
    }

    fn capacity(&self) -> usize {
        self.full_bytes + self.last.capacity()
    }

    fn is_full(&self) -> bool {
        self.last.len() == self.last.capacity()
    }

    /// Adds an empty buffer of `bytes` behind a full one.
    fn add(&mut self, bytes: usize) {
        let last = std::mem::replace(&mut self.last, Vec::with_capacity(bytes));
        if !last.is_empty() {
            self.full_bytes += last.len();
            self.full.push(last);
        }
    }

    /// Fills the last buffer; returns what doesn't fit.
    fn fill<'d>(&mut self, data: &'d [u8]) -> &'d [u8] {
        let free = self.last.capacity() - self.last.len();
        let (fits, rest) = data.split_at(free.min(data.len()));
        self.last.extend_from_slice(fits);
        rest
    }

    fn needs_join(&self) -> bool {
        !self.full.is_empty()
    }

    fn join(mut self) -> Bytes {
        if self.needs_join() {
            self.full.push(self.last);
            return self.full.concat().into();
        }
        self.last.shrink_to_fit();
        self.last.into()
    }
}
