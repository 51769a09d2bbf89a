//! The account of what an entry holds.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{Hold, HostLimits, Load};

/// Number of [`HeldKind`]s.
const KINDS: usize = 5;

/// What memory and sockets are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeldKind {
    /// A connection of a caller.
    Connection,
    /// The body of a request.
    Request,
    /// A response, or the part of a stream that its caller has not read.
    Response,
    /// A connection to an upstream.
    Upstream,
    /// The configuration.
    Configuration,
}

impl HeldKind {
    /// Every kind.
    pub const ALL: [Self; KINDS] = [
        Self::Connection,
        Self::Request,
        Self::Response,
        Self::Upstream,
        Self::Configuration,
    ];

    /// Its name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Request => "request",
            Self::Response => "response",
            Self::Upstream => "upstream",
            Self::Configuration => "configuration",
        }
    }
}

/// What an entry holds; shared by the tasks of all connections.
///
/// ```
/// use std::sync::Arc;
/// use coltsfootnotch_forward::held::{HeldKind, HeldResources, HostLimits, Load};
/// let held = HeldResources::new(HostLimits { memory_bytes: 1_000, sockets: 10 });
/// let bistro: Arc<str> = "bistro".into();
/// let body = held.try_hold(HeldKind::Request, Some(&bistro), 300);
/// assert!(body.is_some());
/// assert!(held.try_hold(HeldKind::Request, Some(&bistro), 400).is_none(), "more than is free");
/// assert_eq!(held.load(), Load::Normal);
/// drop(body);
/// assert_eq!(held.memory_bytes(), 0);
/// ```
#[derive(Debug)]
pub struct HeldResources {
    limits: HostLimits,
    memory_bytes: AtomicU64,
    sockets: AtomicU64,
    by_kind: [AtomicU64; KINDS],
    by_account: Mutex<HashMap<Arc<str>, u64>>,
}

impl HeldResources {
    /// Holds nothing yet.
    #[must_use]
    pub fn new(limits: HostLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            memory_bytes: AtomicU64::new(0),
            sockets: AtomicU64::new(0),
            by_kind: Default::default(),
            by_account: Mutex::default(),
        })
    }

    /// How far the limits are used: that of memory or of sockets, whichever is used more.
    #[must_use]
    pub fn load(&self) -> Load {
        let socket_load = self.limits.socket_load(self.sockets());
        self.memory_load().max(socket_load)
    }

    /// How far the limit of memory is used.
    #[must_use]
    pub fn memory_load(&self) -> Load {
        self.limits.memory_load(self.memory_bytes())
    }

    /// Memory that is held, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        self.memory_bytes.load(Ordering::Relaxed)
    }

    /// Sockets that are held.
    #[must_use]
    pub fn sockets(&self) -> u64 {
        self.sockets.load(Ordering::Relaxed)
    }

    /// Memory that is held for one kind, in bytes.
    #[must_use]
    pub fn bytes_of(&self, kind: HeldKind) -> u64 {
        self.by_kind[kind as usize].load(Ordering::Relaxed)
    }

    /// Memory that is held for the requests and responses of an account, in bytes.
    #[must_use]
    pub fn bytes_of_account(&self, account: &str) -> u64 {
        self.accounts().get(account).copied().unwrap_or(0)
    }

    /// Holds `bytes` and `sockets` whatever is held already.
    #[must_use]
    pub fn hold(
        self: &Arc<Self>,
        kind: HeldKind,
        account: Option<&Arc<str>>,
        bytes: u64,
        sockets: u64,
    ) -> Hold {
        let mut hold = Hold::empty(Arc::clone(self), kind, account.cloned());
        hold.add_sockets(sockets);
        hold.resize(bytes);
        hold
    }

    /// Holds `bytes` for the account if it has them free; see [`HeldResources::has_room`].
    #[must_use]
    pub fn try_hold(
        self: &Arc<Self>,
        kind: HeldKind,
        account: Option<&Arc<str>>,
        bytes: u64,
    ) -> Option<Hold> {
        let has_room = self.has_room(account.map(|a| &**a), bytes);
        has_room.then(|| self.hold(kind, account, bytes, 0))
    }

    /// Whether an account may hold `bytes` more: no more than is free afterwards, so that a part of the
    /// memory is always left to the others. Requests without an account count as one account.
    #[must_use]
    pub fn has_room(&self, account: Option<&str>, bytes: u64) -> bool {
        let held = self.memory_bytes().saturating_add(bytes);
        let free = self.limits.memory_bytes.saturating_sub(held);
        let of_account = self.bytes_of_account(account.unwrap_or_default());
        of_account.saturating_add(bytes) <= free
    }

    /// Whether a long response of an account may hold `bytes` more. It leaves more free than
    /// [`HeldResources::has_room`]: an upstream that sends without end would otherwise take the room of
    /// new requests.
    #[must_use]
    pub fn has_room_for_response(&self, account: Option<&str>, bytes: u64) -> bool {
        let responses = self.bytes_of(HeldKind::Response).saturating_add(bytes);
        let of_account = self.bytes_of_account(account.unwrap_or_default());
        let with_reserve = bytes.saturating_add(self.limits.reserved_bytes());
        responses <= self.limits.response_bytes()
            && of_account.saturating_add(bytes) <= self.limits.account_response_bytes()
            && self.has_room(account, with_reserve)
    }

    /// Whether the body of a request of an account may hold `bytes` more: what [`HeldResources::has_room`] allows, and
    /// nothing of the part that is left to the responses of requests that were accepted.
    #[must_use]
    pub fn has_room_for_body(&self, account: Option<&str>, bytes: u64) -> bool {
        let held = self.memory_bytes().saturating_add(bytes);
        held <= self.limits.accepting_bytes() && self.has_room(account, bytes)
    }

    /// Whether the head of a request may hold `bytes` more than the first buffer of its connection.
    ///
    /// ```
    /// use coltsfootnotch_forward::held::{HeldResources, HostLimits};
    /// let held = HeldResources::new(HostLimits { memory_bytes: 1_000, sockets: 10 });
    /// assert!(held.has_room_for_head(600));
    /// assert!(!held.has_room_for_head(700));
    /// ```
    #[must_use]
    pub fn has_room_for_head(&self, bytes: u64) -> bool {
        self.memory_bytes().saturating_add(bytes) <= self.limits.head_bytes()
    }

    pub(super) fn add_bytes(&self, kind: HeldKind, account: Option<&Arc<str>>, bytes: u64) {
        self.memory_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.by_kind[kind as usize].fetch_add(bytes, Ordering::Relaxed);
        if bytes > 0 && is_of_account(kind) {
            let account = account.cloned().unwrap_or_else(|| "".into());
            *self.accounts().entry(account).or_default() += bytes;
        }
    }

    pub(super) fn release_bytes(&self, kind: HeldKind, account: Option<&Arc<str>>, bytes: u64) {
        subtract(&self.memory_bytes, bytes);
        subtract(&self.by_kind[kind as usize], bytes);
        if bytes == 0 || !is_of_account(kind) {
            return;
        }
        let account = account.map_or("", |a| a);
        let mut accounts = self.accounts();
        let held = accounts.get_mut(account);
        let held = held.expect("what is released was held for the account");
        *held = held
            .checked_sub(bytes)
            .expect("no more is released than was held for the account");
        if *held == 0 {
            accounts.remove(account);
        }
    }

    pub(super) fn release_sockets(&self, sockets: u64) {
        subtract(&self.sockets, sockets);
    }

    pub(super) fn add_sockets(&self, sockets: u64) {
        self.sockets.fetch_add(sockets, Ordering::Relaxed);
    }

    fn accounts(&self) -> MutexGuard<'_, HashMap<Arc<str>, u64>> {
        self.by_account
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether the kind is counted for accounts.
fn is_of_account(kind: HeldKind) -> bool {
    matches!(kind, HeldKind::Request | HeldKind::Response)
}

fn subtract(total: &AtomicU64, part: u64) {
    let before = total.fetch_sub(part, Ordering::Relaxed);
    assert!(before >= part, "no more is released than was held");
}
