//! A part of what an entry holds.

use std::sync::Arc;

use super::{HeldKind, HeldResources};

/// Memory and sockets that are held until this value is dropped.
#[derive(Debug)]
pub struct Hold {
    held: Arc<HeldResources>,
    kind: HeldKind,
    account: Option<Arc<str>>,
    bytes: u64,
    sockets: u64,
}

impl Hold {
    pub(super) fn empty(
        held: Arc<HeldResources>,
        kind: HeldKind,
        account: Option<Arc<str>>,
    ) -> Self {
        Self {
            held,
            kind,
            account,
            bytes: 0,
            sockets: 0,
        }
    }

    /// Bytes that it holds.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Holds `bytes` from now on, more or fewer than before.
    ///
    /// ```
    /// use coltsfootnotch_forward::held::{HeldKind, HeldResources, HostLimits};
    /// let held = HeldResources::new(HostLimits { memory_bytes: 1_000, sockets: 10 });
    /// let mut response = held.hold(HeldKind::Response, None, 400, 0);
    /// response.resize(100);
    /// assert_eq!(held.memory_bytes(), 100);
    /// ```
    pub fn resize(&mut self, bytes: u64) {
        let account = self.account.as_ref();
        if bytes > self.bytes {
            self.held.add_bytes(self.kind, account, bytes - self.bytes);
        } else {
            self.held
                .release_bytes(self.kind, account, self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Holds `bytes` of a request from now on, unless they are more than before and than there is room for; see
    /// [`HeldResources::has_room_for_body`]. Returns whether it does.
    ///
    /// ```
    /// use coltsfootnotch_forward::held::{HeldKind, HeldResources, HostLimits};
    /// let held = HeldResources::new(HostLimits { memory_bytes: 1_000, sockets: 10 });
    /// let mut request = held.hold(HeldKind::Request, None, 400, 0);
    /// assert!(!request.try_resize(600), "more than is free");
    /// assert!(request.try_resize(300));
    /// ```
    #[must_use]
    pub fn try_resize(&mut self, bytes: u64) -> bool {
        let account = self.account.as_deref();
        let has_room =
            bytes <= self.bytes || self.held.has_room_for_body(account, bytes - self.bytes);
        if has_room {
            self.resize(bytes);
        }
        has_room
    }

    /// Holds `bytes` more of a long response; see [`HeldResources::has_room_for_response`].
    #[must_use]
    pub fn try_grow_response(&mut self, bytes: u64) -> bool {
        let account = self.account.as_deref();
        let has_room = self.held.has_room_for_response(account, bytes);
        if has_room {
            self.resize(self.bytes + bytes);
        }
        has_room
    }

    /// Holds further sockets.
    pub fn add_sockets(&mut self, sockets: u64) {
        self.held.add_sockets(sockets);
        self.sockets += sockets;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.held
            .release_bytes(self.kind, self.account.as_ref(), self.bytes);
        self.held.release_sockets(self.sockets);
    }
}
