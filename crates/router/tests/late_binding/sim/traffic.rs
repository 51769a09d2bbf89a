//! Counters of control traffic.

use coltsfootnotch_wire::{FromSidecar, Message, ToSidecar, encode};

/// Numbers of control messages and of their encoded bytes.
#[derive(Debug, Default, Clone)]
pub(crate) struct Traffic {
    pub(crate) measuring: bool,
    /// Messages and bytes of `Waits`, `Nothing`, `Free` and `Pull`.
    pub(crate) waits: (u64, u64),
    pub(crate) nothing: (u64, u64),
    pub(crate) free: (u64, u64),
    pub(crate) pull: (u64, u64),
    /// Attempts opened, and those not started.
    pub(crate) opened: u64,
    pub(crate) not_started: u64,
}

impl Traffic {
    pub(super) fn count(&mut self, message: &Message) {
        if !self.measuring {
            return;
        }
        let bytes = encode(message).expect("a control message is small").len() as u64;
        let counter = match message {
            Message::ToSidecar(ToSidecar::Waits { .. }) => &mut self.waits,
            Message::ToSidecar(_) => &mut self.nothing,
            Message::FromSidecar(FromSidecar::Pull { .. }) => &mut self.pull,
            _ => &mut self.free,
        };
        counter.0 += 1;
        counter.1 += bytes;
    }
}
