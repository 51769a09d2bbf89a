//! Which control host a forwarding entry follows: it answers the entry's questions and adds up the
//! reports of all entries that follow it.
//!
//! **Failure.** Entries that follow different control hosts hear of each other half a second late, and
//! fill the same engines meanwhile.
//!
//! **Safeguard.** All follow the first by name that is connected and able to answer, whatever order
//! connections came in. One that does not answer is left for the next by name.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The control hosts that are connected, and which of them is followed. `K` names a connection.
///
/// ```
/// use coltsfootnotch_forward::follow::Following;
/// let mut following = Following::default();
/// following.up("b", 1);
/// following.up("a", 2);
/// assert_eq!(following.followed(), Some(2));
/// following.unanswered();
/// assert_eq!(following.followed(), Some(1), "the next by name");
/// ```
#[derive(Debug, Clone)]
pub struct Following<K> {
    able: BTreeMap<K, Arc<str>>,
    followed: Option<K>,
}

impl<K> Default for Following<K> {
    fn default() -> Self {
        Self {
            able: BTreeMap::new(),
            followed: None,
        }
    }
}

impl<K: Copy + Ord> Following<K> {
    /// A control host is connected; whether another is followed now.
    pub fn up(&mut self, host: &str, link: K) -> bool {
        self.able.insert(link, host.into());
        let is_earlier = match self.followed.and_then(|link| self.able.get(&link)) {
            Some(followed) => host < &**followed,
            None => true,
        };
        if is_earlier {
            self.followed = Some(link);
        }
        is_earlier
    }

    /// The connection is gone, or its host can answer nothing; whether another is followed now.
    pub fn drop_link(&mut self, link: K) -> bool {
        self.able.remove(&link);
        let was_followed = self.followed == Some(link);
        if was_followed {
            self.followed = self.first();
        }
        was_followed
    }

    /// The followed host does not answer: follows the next by name, and the first after the last.
    pub fn unanswered(&mut self) {
        let Some(silent) = self.followed else {
            return;
        };
        let name = |link: K| self.able.get(&link).map(|host| (&**host, link));
        let later = self
            .able
            .keys()
            .copied()
            .filter(|k| name(*k) > name(silent));
        let next = later.min_by_key(|k| name(*k));
        self.followed = next.or_else(|| self.first());
    }

    /// The connection to the host that is followed.
    #[must_use]
    pub fn followed(&self) -> Option<K> {
        self.followed
    }

    /// The connections to the other hosts that are able to answer.
    pub fn others(&self) -> impl Iterator<Item = K> {
        let able = self.able.keys().copied();
        able.filter(|link| self.followed != Some(*link))
    }

    fn first(&self) -> Option<K> {
        let first = self.able.iter().min_by_key(|(link, host)| (*host, *link));
        first.map(|(link, _)| *link)
    }
}
