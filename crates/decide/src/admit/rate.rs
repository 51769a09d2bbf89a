//! Requests a second of one account at one entry host.

use std::collections::HashMap;
use std::time::Duration;

use coltsfootnotch_types::AccountName;

/// Token buckets by account: as many requests at once as the limit allows in a second, then at that
/// rate. A caller that sends its second's worth in one burst is not over its limit, and one that was
/// idle for an hour has saved up no more than that.
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
    at: Duration,
}

impl RateLimits {
    /// Limits that nobody has used.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of an account that may send `per_s` a second.
    ///
    /// # Errors
    /// Returns the time after which it would be let in; it is not counted then.
    pub fn take(
        &mut self,
        account: &AccountName,
        per_s: u32,
        now: Duration,
    ) -> Result<(), Duration> {
        let rate = f64::from(per_s.max(1));
        let full = Bucket {
            tokens: rate,
            at: now,
        };
        let bucket = self.buckets.entry(account.clone()).or_insert(full);
        let passed = now.saturating_sub(bucket.at).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * rate).min(rate);
        bucket.at = now;
        if bucket.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - bucket.tokens) / rate));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}
