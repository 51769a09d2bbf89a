//! Crashes that this sidecar run has noticed, to be told to every entry.

use std::collections::VecDeque;
use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{ContentKey, CrashNews, CrashRef};

use super::action::millis_since;

/// How long a crash is told to entries that connect; they hold it no longer.
const TOLD_FOR: Duration = Duration::from_secs(600);
/// Crashes told at most: an upstream that crashes by itself all the time says nothing of requests.
const MAX_TOLD: usize = 64;

/// Crashes in the order in which they were noticed.
#[derive(Debug)]
pub struct Crashes {
    host: HostName,
    incarnation: Incarnation,
    noticed: u64,
    recent: VecDeque<(Duration, CrashNews)>,
}

impl Crashes {
    /// No crash yet.
    #[must_use]
    pub fn new(host: HostName, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            noticed: 0,
            recent: VecDeque::new(),
        }
    }

    /// Numbers a crash.
    pub fn notice(
        &mut self,
        now: Duration,
        upstream: &UpstreamName,
        suspects: Vec<ContentKey>,
    ) -> CrashNews {
        self.noticed += 1;
        let crash = CrashRef {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.noticed,
        };
        let news = CrashNews {
            crash,
            upstream: upstream.clone(),
            suspects,
            age_ms: 0,
        };
        self.recent.push_back((now, news.clone()));
        if self.recent.len() > MAX_TOLD {
            self.recent.pop_front();
        }
        news
    }

    /// The crashes that an entry which connects now should know of.
    pub fn recent(&mut self, now: Duration) -> impl Iterator<Item = CrashNews> {
        self.recent
            .retain(|(at, _)| now.saturating_sub(*at) < TOLD_FOR);
        self.recent.iter().map(move |(at, news)| CrashNews {
            age_ms: millis_since(*at, now),
            ..news.clone()
        })
    }
}
