//! Texts of metrics, as they are sent.

use std::sync::{Arc, Mutex, PoisonError, Weak};

use bytes::Bytes;

use super::metrics::Metrics;

/// Most texts that are being sent at once. A text has hundreds of kilobytes with many accounts, and a client that doesn't
/// read keeps its text.
const MAX_TEXTS: usize = 4;

/// Texts of a daemon's metrics. While as many as allowed are being sent, the newest of them is sent again.
#[derive(Debug)]
pub(crate) struct RenderedMetrics {
    metrics: Metrics,
    texts: Mutex<Vec<Weak<String>>>,
}

/// A text that is shared by the connections that it is sent on.
struct SharedText(Arc<String>);

impl AsRef<[u8]> for SharedText {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl RenderedMetrics {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            texts: Mutex::default(),
        }
    }

    /// The metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Bytes {
        let mut texts = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        texts.retain(|text| text.strong_count() > 0);
        let newest = texts.last().and_then(Weak::upgrade);
        let text = match newest {
            Some(newest) if texts.len() >= MAX_TEXTS => newest,
            _ => {
                let text = Arc::new(self.metrics.render());
                texts.push(Arc::downgrade(&text));
                text
            }
        };
        Bytes::from_owner(SharedText(text))
    }
}

#[cfg(test)]
#[path = "rendered_metrics_tests.rs"]
mod tests;
