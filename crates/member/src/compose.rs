//! Composes messages of bounded size.

use bv_types::{HostId, Millis};

use crate::Membership;
use crate::message::{Kind, MAX_MESSAGE_BYTES, Message, Status, Update};
use crate::timing::ROTATED_UPDATES;

impl Membership {
    /// A message with as much news as fits. If `to` is held for suspect or dead, it is told first,
    /// so that it can refute.
    pub(crate) fn compose(
        &mut self,
        now: Millis,
        to: Option<&HostId>,
        seq: u64,
        kind: Kind,
    ) -> Message {
        let mut message = self.bare(seq, kind);
        message.rumours.extend(self.rumours.config(now));
        let told = to.and_then(|host| self.table.get(host));
        message.updates.extend(
            told.filter(|e| e.status != Status::Alive)
                .map(|e| e.update()),
        );
        let mut room = MAX_MESSAGE_BYTES - message.max_bytes();
        self.add_news(&mut message, &mut room);
        let rumours = self.rumours.take(now, room);
        room -= rumours.iter().map(|r| r.max_bytes()).sum::<usize>();
        message.rumours.extend(rumours);
        self.add_rotated(&mut message, &mut room);
        message
    }

    /// `first` and all known members in as many messages as are needed.
    pub(crate) fn compose_view(&self, first: Option<Update>) -> Vec<Message> {
        let mut messages = vec![self.bare(0, Kind::Gossip)];
        let known = self.table.entries.iter().map(|e| e.update());
        for update in first.into_iter().chain(known) {
            let last = messages.len() - 1;
            if messages[last].max_bytes() + update.max_bytes() > MAX_MESSAGE_BYTES {
                messages.push(self.bare(0, Kind::Gossip));
            }
            if let Some(message) = messages.last_mut() {
                message.updates.push(update);
            }
        }
        messages
    }

    fn bare(&self, seq: u64, kind: Kind) -> Message {
        Message {
            from: self.this.clone(),
            counter: self.counter,
            seq,
            kind,
            updates: Vec::new(),
            view_digest: self.view_digest(),
            rumour_digest: self.rumours.digest(),
            rumours: Vec::new(),
        }
    }

    /// Digest of the live members, this one included.
    pub(crate) fn view_digest(&self) -> u64 {
        self.own_digest.wrapping_add(self.table.digest())
    }

    /// Adds states with transmissions left, the least sent first.
    fn add_news(&mut self, message: &mut Message, room: &mut usize) {
        let entries = &mut self.table.entries;
        let mut due: Vec<usize> = (0..entries.len())
            .filter(|at| entries[*at].sends > 0)
            .collect();
        due.sort_by_key(|at| std::cmp::Reverse(entries[*at].sends));
        for at in due {
            let update = entries[at].update();
            if message.updates.contains(&update) {
                continue;
            }
            if update.max_bytes() > *room {
                break;
            }
            *room -= update.max_bytes();
            entries[at].sends -= 1;
            message.updates.push(update);
        }
    }

    fn add_rotated(&mut self, message: &mut Message, room: &mut usize) {
        let entries = &self.table.entries;
        for _ in 0..ROTATED_UPDATES.min(entries.len()) {
            self.rotation = (self.rotation + 1) % entries.len();
            let update = entries[self.rotation].update();
            if update.max_bytes() > *room {
                return;
            }
            if !message.updates.contains(&update) {
                *room -= update.max_bytes();
                message.updates.push(update);
            }
        }
    }
}
