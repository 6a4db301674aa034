//! Membership of the entry hosts: probes, suspicion and gossip.
//!
//! [`Membership`] is a state machine without I/O that follows the SWIM protocol. Its driver,
//! which is the code that embeds it, passes the time with each event and carries out the returned
//! actions.
//!
//! ```
//! use bv_member::{Action, Event, Member, Membership};
//! use bv_types::{Incarnation, Millis};
//!
//! let member = |id: &str, port| Member {
//!     host: id.parse().unwrap(),
//!     incarnation: Incarnation(1),
//!     addr: ([127, 0, 0, 1], port).into(),
//! };
//! let (a, b) = (member("a", 1), member("b", 2));
//! let mut first = Membership::new(a.clone(), vec![b.addr], 1, Millis(0));
//! let mut second = Membership::new(b.clone(), vec![], 2, Millis(0));
//!
//! // The first host contacts its seed, which then knows it.
//! let actions = first.handle(Millis(0), Event::Tick);
//! let [Action::Send { to, message }] = &actions[..] else { panic!() };
//! assert_eq!(*to, b.addr);
//! let actions = second.handle(Millis(1), Event::Packet(message.clone()));
//! assert!(actions.contains(&Action::Joined(a.clone())));
//! assert_eq!(second.alive(), [a, b]);
//! ```

mod compose;
mod departure;
mod event;
mod gossip;
mod member;
mod membership;
mod message;
mod probe;
mod rejoin;
mod rendezvous;
mod table;
mod timing;

pub use event::{Action, Event};
pub use gossip::{GossipUpdate, SentGossipUpdate};
pub use member::Member;
pub use membership::Membership;
pub use message::{Kind, MAX_MESSAGE_BYTES, MemberUpdate, Message, Status};
pub use rendezvous::rendezvous;
