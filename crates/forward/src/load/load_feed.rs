//! Distribution of totals to receivers, each of which gets all rows once and then the changes.

use std::collections::BTreeSet;

use coltsfootnotch_wire::{EntryLoadReport, LoadChanges};

use super::LoadEncoder;

/// Sends totals to receivers at intervals. `K` identifies a connection on which messages keep their order.
///
/// A message is encoded once for all receivers, so that the work of a control host grows with the sum of
/// upstreams and entries and not with their product.
///
/// ```
/// use std::cell::RefCell;
/// use coltsfootnotch_forward::load::LoadFeed;
/// use coltsfootnotch_wire::{EntryLoadReport, LoadChanges};
/// let wholes = RefCell::new(Vec::new());
/// let encode = |changes: &LoadChanges| vec![u8::from(changes.is_whole)];
/// let mut feed = LoadFeed::default();
/// for receivers in [vec![1], vec![1, 2]] {
///     let send = |receiver, bytes: &[u8]| wholes.borrow_mut().push((receiver, bytes[0] == 1));
///     feed.send(&EntryLoadReport::default(), receivers, encode, send);
/// }
/// assert_eq!(*wholes.borrow(), [(1, true), (1, false), (2, true)]);
/// ```
#[derive(Debug, Clone)]
pub struct LoadFeed<K> {
    encoder: LoadEncoder,
    /// Receivers that got the last message.
    synced: BTreeSet<K>,
}

impl<K> Default for LoadFeed<K> {
    fn default() -> Self {
        Self {
            encoder: LoadEncoder::default(),
            synced: BTreeSet::new(),
        }
    }
}

impl<K: Copy + Ord> LoadFeed<K> {
    /// Has a receiver get all rows with the next message that it gets.
    pub fn reset(&mut self, receiver: K) {
        self.synced.remove(&receiver);
    }

    /// Sends `totals` to each receiver by `send`, encoded by `encode`. Returns the bytes sent.
    pub fn send(
        &mut self,
        totals: &EntryLoadReport,
        receivers: impl IntoIterator<Item = K>,
        encode: impl Fn(&LoadChanges) -> Vec<u8>,
        mut send: impl FnMut(K, &[u8]),
    ) -> usize {
        let changes = self.encoder.encode(totals);
        let changed = encode(&changes);
        let mut whole = None;
        let mut synced = BTreeSet::new();
        let mut sent = 0;
        for receiver in receivers {
            let bytes = if self.synced.contains(&receiver) {
                &changed
            } else {
                whole.get_or_insert_with(|| encode(&self.encoder.whole(&changes)))
            };
            sent += bytes.len();
            send(receiver, bytes);
            synced.insert(receiver);
        }
        self.synced = synced;
        sent
    }
}
