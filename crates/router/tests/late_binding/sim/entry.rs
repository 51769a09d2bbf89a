//! An entry of the simulation: the core, and the state that its daemon keeps.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_router::{EntryCore, QueuedRequest};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::AttemptId;

/// Stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Waiting {
        since: Duration,
    },
    Intent,
    Running {
        attempt: AttemptId,
        s: usize,
        link: u64,
    },
}

pub(crate) struct Request {
    pub(crate) waiting: QueuedRequest,
    pub(crate) source: usize,
    pub(crate) stage: Stage,
    pub(crate) suspect: bool,
}

pub(crate) struct Entry {
    pub(crate) host: HostName,
    pub(crate) run: Incarnation,
    pub(crate) core: EntryCore,
    pub(crate) requests: BTreeMap<u64, Request>,
}

impl Entry {
    pub(crate) fn new(index: usize, run: u64) -> Self {
        let run = Incarnation(run);
        Self {
            host: HostName::new(format!("entry-{index}")).expect("a valid name"),
            run,
            core: EntryCore::new(run, domain(index)),
            requests: BTreeMap::new(),
        }
    }
}

/// Failure domain of a host, one of three.
pub(crate) fn domain(index: usize) -> DomainName {
    DomainName::new(format!("domain-{}", index % 3)).expect("a valid name")
}
