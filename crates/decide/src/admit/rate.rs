//! Rate limits per account on one entry host.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootnotch_types::AccountName;

/// Token buckets by account. The burst is the number of requests that the limit allows per second.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_decide::admit::RateLimits;
/// use coltsfootnotch_types::AccountName;
/// let bistro = AccountName::new("bistro")?;
/// let mut rates = RateLimits::new();
/// let now = Duration::from_secs(5);
/// assert!(rates.take(&bistro, 1, now).is_ok());
/// assert_eq!(rates.take(&bistro, 1, now), Err(Duration::from_secs(1)));
/// assert!(rates.take(&bistro, 1, now + Duration::from_secs(1)).is_ok());
/// # Ok::<(), coltsfootnotch_types::NameError>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct RateLimits {
    buckets: HashMap<AccountName, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at: Duration,
}

impl RateLimits {
    /// Rate limits with full buckets.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a token for a request of an account that may send `per_s` requests per second.
    ///
    /// # Errors
    /// Returns the time until a token is available; none is taken then.
    pub fn take(
        &mut self,
        account: &AccountName,
        per_s: u32,
        now: Duration,
    ) -> Result<(), Duration> {
        let rate = f64::from(per_s.max(1));
        let full = Bucket {
            tokens: rate,
            refilled_at: now,
        };
        let bucket = self.buckets.entry(account.clone()).or_insert(full);
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(rate);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - bucket.tokens) / rate));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}
