//! What upstreams announce, and how the forwarding entries hear of it.

use std::time::Duration;

use coltsfootnotch_fabric::LinkId;
use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate};
use coltsfootnotch_wire::{FromRelay, UpstreamSign, UpstreamWord};

use super::Seeded;
use crate::daemon::control::daemon::ControlDaemon;
use crate::daemon::control::packet::MemberPacket;
use crate::util::events;

/// Silence after which an upstream is forgotten here: several announcements of it were lost. Entries
/// have noticed by their own requests long before.
const SILENCE: Duration = Duration::from_secs(6);

/// Between two rounds in which entries are told that upstreams still live, far below their silence.
const ALIVE_EVERY: Duration = Duration::from_millis(500);
/// The longest such time, in a very large fleet: entries drop an upstream after 8 s of silence.
const ALIVE_LATEST: Duration = Duration::from_secs(3);
/// Time kept between two rounds for each sign to each entry: one takes some 20 bytes, so a control host
/// spends about a megabyte a second on them.
const SIGN_TIME: Duration = Duration::from_micros(20);

impl ControlDaemon {
    /// An upstream announces itself.
    ///
    /// Entries are told before it is answered: whoever leaves may count on it that nobody sends new
    /// work for long, and a word that waited for the next round could be lost with this host.
    pub(in crate::daemon::control) fn announced(&mut self, now: Duration, said: Announcement) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let word = UpstreamWord::from(&said);
        let news = seeded.registry.apply(now, said);
        if news == RegistryUpdate::Changed {
            self.log_upstream(&word);
        }
        match news {
            RegistryUpdate::Changed => self.tell_followers(&FromRelay::Upstreams(vec![word])),
            RegistryUpdate::Refreshed => {
                if let Some(seeded) = &mut self.seeded {
                    seeded.alive.push(UpstreamSign {
                        id: word.id,
                        born_ms: word.born_ms,
                        sequence: word.sequence,
                    });
                }
            }
            RegistryUpdate::Stale => {}
        }
    }

    /// Tells entries which upstreams still live, many at once: each such word alone would wake every
    /// entry several times a second for nothing new.
    pub(super) fn tell_alive(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        if now < seeded.alive_due {
            return;
        }
        let alive = std::mem::take(&mut seeded.alive);
        let signs = alive.len() * seeded.followers.links().count();
        let time = SIGN_TIME * u32::try_from(signs).unwrap_or(u32::MAX);
        seeded.alive_due = now + time.clamp(ALIVE_EVERY, ALIVE_LATEST);
        if !alive.is_empty() {
            self.tell_followers(&FromRelay::UpstreamsAlive(alive));
        }
    }

    /// An upstream says that it has left. It may have announced itself to other control hosts only, so
    /// they hear of it as well as the entries: one that is asked by a new entry must not name it.
    pub(in crate::daemon::control) fn left(
        &mut self,
        now: Duration,
        id: &str,
        born_ms: Option<u64>,
    ) {
        if self.note_left(now, id, born_ms) {
            self.links.send_members(&MemberPacket::UpstreamLeft {
                id: id.to_owned(),
                born_ms,
            });
        }
    }

    /// The same, told by another control host.
    pub(in crate::daemon::control) fn note_left(
        &mut self,
        now: Duration,
        id: &str,
        born_ms: Option<u64>,
    ) -> bool {
        let Some(seeded) = &mut self.seeded else {
            return false;
        };
        let holds = seeded.registry.mark_left(now, id, born_ms);
        if holds {
            self.host
                .log(&events::UPSTREAM_LEAVING, &[("upstream", &id)]);
            self.tell_followers(&FromRelay::UpstreamLeft {
                id: id.to_owned(),
                born_ms,
            });
        }
        holds
    }

    pub(super) fn expire_upstreams(&mut self, now: Duration) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        for said in seeded.registry.expire(now, SILENCE) {
            self.host.log(
                &events::UPSTREAM_SILENT,
                &[("upstream", &said.id), ("service", &said.service)],
            );
        }
    }

    /// Tells an entry that has just connected everything that holds.
    pub(in crate::daemon::control) fn tell_all(&self, link: LinkId) {
        let Some(seeded) = &self.seeded else {
            return;
        };
        self.tell(link, seeded.control_hosts());
        if !seeded.finding.keeps_log() {
            return;
        }
        self.tell(link, FromRelay::Upstreams(known(seeded)));
        for (id, born_ms) in seeded.registry.departed() {
            let id = id.to_owned();
            self.tell(link, FromRelay::UpstreamLeft { id, born_ms });
        }
        // Only a higher number than the entry's has an effect there.
        if let Some(config) = self.config_body() {
            self.tell(link, FromRelay::Config(config));
        }
    }

    pub(in crate::daemon::control) fn tell_followers(&self, message: &FromRelay) {
        let followers = self.seeded.iter().flat_map(|s| s.followers.links());
        for link in followers {
            self.tell(link, message.clone());
        }
    }

    fn log_upstream(&self, word: &UpstreamWord) {
        let event = match word.stage {
            coltsfootnotch_wire::UpstreamStage::Ready => &events::UPSTREAM_ANNOUNCED,
            _ => &events::UPSTREAM_LEAVING,
        };
        self.host.log(
            event,
            &[
                ("upstream", &word.id),
                ("service", &word.service),
                ("address", &word.address),
                ("born_ms", &word.born_ms),
                ("sequence", &word.sequence),
            ],
        );
    }
}

fn known(seeded: &Seeded) -> Vec<UpstreamWord> {
    let all = seeded.registry.all();
    all.map(|u| UpstreamWord::from(&u.announcement)).collect()
}
