//! Builds messages of bounded size.

use bv_types::{HostId, Millis};

use crate::Membership;
use crate::message::{Kind, MAX_MESSAGE_BYTES, MemberUpdate, Message, Status};
use crate::timing::ROTATED_UPDATES;

impl Membership {
    /// Builds a message with as many updates as fit. If this host counts `to` as suspect or dead,
    /// that update comes first, so that `to` can refute it.
    pub(crate) fn compose(
        &mut self,
        now: Millis,
        to: Option<&HostId>,
        seq: u64,
        kind: Kind,
    ) -> Message {
        let mut message = self.empty_message(seq, kind);
        message.gossip_updates.extend(self.gossip.config(now));
        let recipient = to.and_then(|host| self.table.get(host));
        message.member_updates.extend(
            recipient
                .filter(|e| e.status != Status::Alive)
                .map(|e| e.update()),
        );
        let mut bytes_left = MAX_MESSAGE_BYTES - message.max_bytes();
        self.add_member_updates(&mut message, &mut bytes_left);
        let gossip_updates = self.gossip.take_due(now, bytes_left);
        bytes_left -= gossip_updates.iter().map(|u| u.max_bytes()).sum::<usize>();
        message.gossip_updates.extend(gossip_updates);
        self.add_rotated_members(&mut message, &mut bytes_left);
        message
    }

    /// Puts `first` and all known members into as many messages as needed.
    pub(crate) fn compose_view(&self, first: Option<MemberUpdate>) -> Vec<Message> {
        let mut messages = vec![self.empty_message(0, Kind::Gossip)];
        let members = self.table.entries.iter().map(|e| e.update());
        for update in first.into_iter().chain(members) {
            let last = messages.len() - 1;
            if messages[last].max_bytes() + update.max_bytes() > MAX_MESSAGE_BYTES {
                messages.push(self.empty_message(0, Kind::Gossip));
            }
            if let Some(message) = messages.last_mut() {
                message.member_updates.push(update);
            }
        }
        messages
    }

    fn empty_message(&self, seq: u64, kind: Kind) -> Message {
        Message {
            from: self.local.clone(),
            counter: self.counter,
            seq,
            kind,
            member_updates: Vec::new(),
            view_digest: self.view_digest(),
            gossip_digest: self.gossip.digest(),
            gossip_updates: Vec::new(),
        }
    }

    /// Digest of the live members, this one included.
    pub(crate) fn view_digest(&self) -> u64 {
        self.own_digest.wrapping_add(self.table.digest())
    }

    /// Adds member updates that have transmissions left, the least sent first.
    fn add_member_updates(&mut self, message: &mut Message, bytes_left: &mut usize) {
        let entries = &mut self.table.entries;
        let mut due: Vec<usize> = (0..entries.len())
            .filter(|at| entries[*at].sends_left > 0)
            .collect();
        due.sort_by_key(|at| std::cmp::Reverse(entries[*at].sends_left));
        for at in due {
            let update = entries[at].update();
            if message.member_updates.contains(&update) {
                continue;
            }
            if update.max_bytes() > *bytes_left {
                break;
            }
            *bytes_left -= update.max_bytes();
            entries[at].sends_left -= 1;
            message.member_updates.push(update);
        }
    }

    /// Adds the next known members in rotation, so that views converge after any loss.
    fn add_rotated_members(&mut self, message: &mut Message, bytes_left: &mut usize) {
        let entries = &self.table.entries;
        for _ in 0..ROTATED_UPDATES.min(entries.len()) {
            self.rotation = (self.rotation + 1) % entries.len();
            let update = entries[self.rotation].update();
            if update.max_bytes() > *bytes_left {
                return;
            }
            if !message.member_updates.contains(&update) {
                *bytes_left -= update.max_bytes();
                message.member_updates.push(update);
            }
        }
    }
}
