//! Messages between hosts, the store and peers, with delays and losses.

use arbtest::arbitrary::Result;
use bv_config::{Document, Event, WriteResult};
use bv_types::{Millis, Version};

use super::world::World;

pub(super) enum Message {
    ReadArrives {
        host: usize,
        process: u64,
        read: u64,
    },
    WriteArrives {
        host: usize,
        process: u64,
        write: u64,
        document: Document,
        expected: Option<Version>,
        answered: bool,
        restores: u64,
    },
    QueryArrives {
        from: usize,
        process: u64,
        peer: usize,
    },
    Deliver {
        host: usize,
        process: u64,
        event: Event,
    },
}

impl World<'_, '_> {
    pub(super) fn send(&mut self, message: Message) -> Result<()> {
        let at = self.now_ms + self.delay()?;
        self.messages.push((at, message));
        Ok(())
    }

    pub(super) fn deliver(&mut self, host: usize, process: u64, event: Event) -> Result<()> {
        self.send(Message::Deliver {
            host,
            process,
            event,
        })
    }

    pub(super) fn receive(&mut self, message: Message) -> Result<()> {
        match message {
            Message::Deliver {
                host,
                process,
                event,
            } if self.hosts[host].process == process => self.handle_event(host, event),
            Message::Deliver { .. } => Ok(()),
            Message::ReadArrives {
                host,
                process,
                read,
            } => {
                let event = match self.store_up {
                    true => {
                        let lag = match self.chance(15)? {
                            true => self.u.int_in_range(1..=3usize)?,
                            false => 0,
                        };
                        let document = self.table.read(lag);
                        self.table.record_returned(document.as_ref(), self.now_ms);
                        Event::StoreRead { read, document }
                    }
                    false => Event::ReadFailed { read },
                };
                self.deliver(host, process, event)
            }
            Message::WriteArrives {
                host,
                process,
                write,
                document,
                expected,
                answered,
                restores,
            } => {
                let result = match self.store_up {
                    true => {
                        let result = self.table.write(&document, expected, restores);
                        let row = self.table.row.clone();
                        self.table.record_returned(row.as_ref(), self.now_ms);
                        result
                    }
                    false => WriteResult::Unavailable,
                };
                match answered {
                    true => self.deliver(host, process, Event::WriteEnded { write, result }),
                    false => Ok(()),
                }
            }
            Message::QueryArrives {
                from,
                process,
                peer,
            } => self.answer(from, process, peer),
        }
    }

    pub(super) fn answer(&mut self, from: usize, process: u64, peer: usize) -> Result<()> {
        let now = Millis(self.now_ms);
        let id = self.hosts[peer].id.clone();
        let event = match &self.hosts[peer].versions {
            Some(versions) if self.connected(from, peer) => Event::PeerAnswer {
                peer: id,
                document: versions.current().cloned(),
                age: versions.age(now),
            },
            _ => Event::PeerFailed { peer: id },
        };
        self.deliver(from, process, event)
    }

    /// Sends a write. The answers of some writes are lost; of these, some writes are lost too and
    /// some arrive late.
    pub(super) fn send_write(
        &mut self,
        host: usize,
        process: u64,
        write: u64,
        document: Document,
        expected: Option<Version>,
    ) -> Result<()> {
        let lost = self.chance(25)?;
        if lost {
            let result = WriteResult::Unanswered;
            self.deliver(host, process, Event::WriteEnded { write, result })?;
            if self.chance(40)? {
                return Ok(());
            }
        }
        let late = match lost && self.chance(30)? {
            true => u64::from(self.u.int_in_range(1..=20u8)?) * 100,
            false => 0,
        };
        let at = self.now_ms + late + self.delay()?;
        let message = Message::WriteArrives {
            host,
            process,
            write,
            document,
            expected,
            answered: !lost,
            restores: self.table.restores,
        };
        self.messages.push((at, message));
        Ok(())
    }
}
