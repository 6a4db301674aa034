//! Life of grants: prefill end, release, adoption, expiry and dead hosts.

use bv_types::{AttemptId, HostId, Incarnation, Millis, Refusal};

use crate::hold::{Hold, Phase};
use crate::shard::Shard;
use crate::{Action, Adoption, Class, Policy, Request};

/// Time from the death of an entry host to the cancels, in which it may prove to be alive.
const DEATH_GRACE: Millis = Millis(2_000);
/// Time after the predicted end of prefill, or after the deadline, at which a grant expires.
pub(crate) const EXPIRY: Millis = Millis(2_000);

impl Shard {
    pub(crate) fn prefill_done(&mut self, now: Millis, id: &AttemptId, actions: &mut Vec<Action>) {
        let Some(decode) = self.index.decode_of(id) else {
            // A grant of an earlier home that is not adopted yet.
            actions.push(Action::Proceed(id.clone()));
            return;
        };
        let eviction = self.spec.pool.eviction;
        let Some(hold) = self.runners[decode].hold_mut(id) else {
            return;
        };
        let prefill = hold.prefill;
        match hold.phase {
            Phase::Decode => actions.push(Action::Proceed(id.clone())),
            Phase::Ready => {}
            Phase::Prefill => {
                hold.phase = Phase::Ready;
                hold.expires = now + eviction;
            }
        }
        self.runners[prefill].remove_prefill(now, id, true, &self.spec.pool);
        self.start_ready(now, decode, actions);
    }

    /// Gives freed slots to promised grants and starts decode where prefill has ended.
    pub(crate) fn start_ready(&mut self, now: Millis, decode: usize, actions: &mut Vec<Action>) {
        let pool = &self.spec.pool;
        let waiting_limit = self.spec.waiting_limit();
        let runner = &mut self.runners[decode];
        let counter = runner.advance(now, pool);
        let mut usage = runner.usage();
        let mut order: Vec<usize> = (0..runner.holds.len())
            .filter(|index| runner.holds[*index].phase != Phase::Decode)
            .collect();
        order.sort_by_key(|index| {
            let hold = &runner.holds[*index];
            (hold.phase == Phase::Prefill, hold.granted_at)
        });
        for index in order {
            let hold = &mut runner.holds[index];
            let waiting = hold.request.class == Class::Waiting;
            let fits = usage.slots < pool.slots
                && usage.pieces + hold.pieces <= pool.pieces.0
                && (!waiting || usage.waiting_reserved < waiting_limit);
            if !hold.owns_slot && fits {
                hold.owns_slot = true;
                usage.waiting_reserved += u32::from(waiting);
                usage.slots += 1;
                usage.pieces += hold.pieces;
            }
            if hold.owns_slot && hold.phase == Phase::Ready {
                let gap = pool.gap_ms(usage.slots.min(pool.slots));
                let transfer = pool.transfer_ms(hold.request.prompt) / gap;
                let tokens = hold.request.max_output.0 as f64 + transfer;
                let expires = hold.request.deadline + EXPIRY;
                hold.start_decode(now, counter, tokens, expires);
                actions.push(Action::Proceed(hold.attempt().clone()));
            }
        }
    }

    /// Ends a grant or withdraws a queued request.
    pub(crate) fn release(&mut self, now: Millis, id: &AttemptId, actions: &mut Vec<Action>) {
        if let Some((decode, _)) = self.take_hold(now, id) {
            self.start_ready(now, decode, actions);
            return;
        }
        self.deny_if(Refusal::CallerGone, actions, |request| {
            request.attempt == *id
        });
    }

    /// Denies all queued requests that match.
    pub(crate) fn deny_if(
        &mut self,
        reason: Refusal,
        actions: &mut Vec<Action>,
        matches: impl Fn(&Request) -> bool,
    ) {
        for class in [Class::Urgent, Class::Waiting] {
            let removed = self
                .queue_mut(class)
                .remove_if(|entry| matches(&entry.request));
            actions.extend(removed.into_iter().map(|request| Action::Deny {
                attempt: request.attempt,
                reason,
            }));
        }
    }

    fn take_hold(&mut self, now: Millis, id: &AttemptId) -> Option<(usize, Hold)> {
        let decode = self.index.decode_of(id)?;
        self.index.remove(id);
        let hold = self.runners[decode].remove_hold(now, id, &self.spec.pool)?;
        self.runners[hold.prefill].remove_prefill(now, id, false, &self.spec.pool);
        Some((decode, hold))
    }

    /// Takes over a grant of an earlier home, whether or not it fits.
    pub(crate) fn adopt(&mut self, now: Millis, adoption: Adoption) {
        let find = |id| self.runners.iter().position(|r| r.spec.id == id);
        let (Some(prefill), Some(decode)) = (find(adoption.prefill), find(adoption.decode)) else {
            return;
        };
        let request = adoption.request;
        if let Some(known) = self.index.decode_of(&request.attempt) {
            let hold = self.runners[known].hold_mut(&request.attempt);
            if known == decode && hold.is_some_and(|hold| hold.prefill == prefill) {
                return;
            }
            // The answer came too late for the entry host, which has placed the request elsewhere.
            self.take_hold(now, &request.attempt);
        }
        for class in [Class::Urgent, Class::Waiting] {
            let queue = self.queue_mut(class);
            queue.remove_if(|entry| entry.request.attempt == request.attempt);
        }
        let pool = &self.spec.pool;
        let counter = self.runners[decode].advance(now, pool);
        let phase = match adoption.decoding {
            true => Phase::Decode,
            false => Phase::Prefill,
        };
        let prefill_end = now + pool.service_time(&request);
        let expires = match adoption.decoding {
            true => request.deadline + EXPIRY,
            false => prefill_end + EXPIRY,
        };
        let hold = Hold {
            prefill,
            pieces: request.pieces().0,
            max_batch: pool.max_batch(request.token_gap),
            phase,
            owns_slot: true,
            granted_at: now,
            prefill_end,
            first_token: prefill_end,
            // The last report may already count it.
            since: Millis::ZERO,
            end: request.deadline,
            // How much is generated already is not known.
            tokens: (counter, counter + request.max_output.0 as f64),
            expires,
            request,
        };
        if adoption.decoding {
            self.runners[decode].explain(hold.pieces);
        } else {
            let (id, prompt) = (hold.attempt().clone(), hold.request.prompt);
            self.runners[prefill].push_prefill(now, id, prompt);
        }
        self.index.insert(hold.attempt().clone(), decode);
        self.runners[decode].holds.push(hold);
    }

    pub(crate) fn host_dead(
        &mut self,
        now: Millis,
        host: HostId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        self.deny_if(Refusal::CallerGone, actions, |request| {
            is_from(&request.attempt, &host, incarnation)
        });
        let known = self.dying.iter().any(|d| d.0 == host && d.1 == incarnation);
        if !known {
            self.dying.push((host, incarnation, now + DEATH_GRACE));
        }
    }

    pub(crate) fn host_alive(&mut self, host: &HostId, incarnation: Incarnation) {
        self.dying.retain(|d| d.0 != *host || d.1 != incarnation);
    }

    /// Cancels the grants of hosts that stayed dead and those past their time.
    pub(crate) fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let (dead, dying) = self.dying.drain(..).partition(|d| d.2 <= now);
        self.dying = dying;
        let is_dead = |id: &AttemptId| {
            let dead: &Vec<(HostId, Incarnation, Millis)> = &dead;
            dead.iter().any(|d| is_from(id, &d.0, d.1))
        };
        let mut ended = Vec::new();
        let mut late = Vec::new();
        for (decode, runner) in self.runners.iter_mut().enumerate() {
            let counter = runner.advance(now, &self.spec.pool);
            for hold in &mut runner.holds {
                if is_dead(hold.attempt()) {
                    ended.push(hold.attempt().clone());
                } else if hold.expires <= now && hold.phase == Phase::Prefill && hold.owns_slot {
                    // PrefillDone may be lost while decode runs, so the slot stays reserved.
                    let tokens = hold.request.max_output.0 as f64;
                    hold.start_decode(now, counter, tokens, hold.request.deadline + EXPIRY);
                    late.push((decode, hold.prefill, hold.attempt().clone()));
                } else if hold.expires <= now {
                    ended.push(hold.attempt().clone());
                }
            }
        }
        for (_, prefill, attempt) in late {
            self.runners[prefill].remove_prefill(now, &attempt, false, &self.spec.pool);
            let runner = self.runners[prefill].spec.id.clone();
            actions.push(Action::Cancel { runner, attempt });
        }
        for attempt in ended {
            self.cancel(now, attempt, actions);
        }
    }

    fn cancel(&mut self, now: Millis, attempt: AttemptId, actions: &mut Vec<Action>) {
        let Some((decode, hold)) = self.take_hold(now, &attempt) else {
            return;
        };
        for index in [hold.prefill, decode] {
            let runner = self.runners[index].spec.id.clone();
            let attempt = attempt.clone();
            actions.push(Action::Cancel { runner, attempt });
        }
        self.start_ready(now, decode, actions);
    }

    /// Denies queued requests that can no longer meet their deadlines.
    pub(crate) fn deny_late(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.policy != Policy::Planned {
            return;
        }
        for class in [Class::Urgent, Class::Waiting] {
            let late = self.queue_mut(class).remove_if(|e| e.latest_start < now);
            actions.extend(late.into_iter().map(|request| Action::Deny {
                attempt: request.attempt,
                reason: Refusal::QueuedTooLong,
            }));
        }
    }
}

fn is_from(attempt: &AttemptId, host: &HostId, incarnation: Incarnation) -> bool {
    attempt.request.host == *host && attempt.request.incarnation == incarnation
}
