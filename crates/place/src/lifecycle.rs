//! Lifecycle of grants: end of prefill, release, adoption, expiry and dead hosts.

use bv_types::{AttemptId, HostId, Incarnation, Millis, Refusal};

use crate::reservation::{Phase, Reservation};
use crate::shard::Shard;
use crate::{Action, Adoption, Class, Policy, Request};

/// Delay between the report that an entry host is dead and the cancellation of its grants, within
/// which the host may turn out to be alive.
const DEAD_HOST_GRACE: Millis = Millis(2_000);
/// Delay after the predicted end of prefill, or after the deadline, until a grant expires.
pub(crate) const EXPIRY_GRACE: Millis = Millis(2_000);

impl Shard {
    pub(crate) fn prefill_done(&mut self, now: Millis, id: &AttemptId, actions: &mut Vec<Action>) {
        let Some(decode) = self.reservation_index.decode_of(id) else {
            // The previous shard owner granted it, and the adoption has not arrived yet.
            actions.push(Action::Proceed(id.clone()));
            return;
        };
        let eviction = self.spec.pool.eviction;
        let Some(reservation) = self.runners[decode].reservation_mut(id) else {
            return;
        };
        let prefill = reservation.prefill;
        match reservation.phase {
            Phase::Decode => actions.push(Action::Proceed(id.clone())),
            Phase::Ready => {}
            Phase::Prefill => {
                reservation.phase = Phase::Ready;
                reservation.expires = now + eviction;
            }
        }
        self.runners[prefill].remove_prefill(now, id, true, &self.spec.pool);
        self.start_ready(now, decode, actions);
    }

    /// Reserves freed slots for promised grants and starts decode where prefill has ended.
    pub(crate) fn start_ready(&mut self, now: Millis, decode: usize, actions: &mut Vec<Action>) {
        let pool = &self.spec.pool;
        let waiting_limit = self.spec.waiting_limit();
        let runner = &mut self.runners[decode];
        let counter = runner.advance_token_counter(now, pool);
        let mut usage = runner.usage();
        let mut order: Vec<usize> = (0..runner.reservations.len())
            .filter(|index| runner.reservations[*index].phase != Phase::Decode)
            .collect();
        order.sort_by_key(|index| {
            let reservation = &runner.reservations[*index];
            (reservation.phase == Phase::Prefill, reservation.granted_at)
        });
        for index in order {
            let reservation = &mut runner.reservations[index];
            let waiting = reservation.request.class == Class::Waiting;
            let fits = usage.slots < pool.slots
                && usage.pieces + reservation.pieces <= pool.pieces.0
                && (!waiting || usage.waiting_reserved < waiting_limit);
            if !reservation.owns_slot && fits {
                reservation.owns_slot = true;
                usage.waiting_reserved += u32::from(waiting);
                usage.slots += 1;
                usage.pieces += reservation.pieces;
            }
            if reservation.owns_slot && reservation.phase == Phase::Ready {
                let gap = pool.gap_ms(usage.slots.min(pool.slots));
                let transfer = pool.transfer_ms(reservation.request.prompt) / gap;
                let tokens = reservation.request.max_output.0 as f64 + transfer;
                let expires = reservation.request.deadline + EXPIRY_GRACE;
                reservation.start_decode(now, counter, tokens, expires);
                actions.push(Action::Proceed(reservation.attempt().clone()));
            }
        }
    }

    /// Ends a grant or withdraws a queued request.
    pub(crate) fn release(&mut self, now: Millis, id: &AttemptId, actions: &mut Vec<Action>) {
        if let Some((decode, _)) = self.take_reservation(now, id) {
            self.start_ready(now, decode, actions);
            return;
        }
        self.deny_if(Refusal::CallerDisconnected, actions, |request| {
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

    fn take_reservation(&mut self, now: Millis, id: &AttemptId) -> Option<(usize, Reservation)> {
        let decode = self.reservation_index.decode_of(id)?;
        self.reservation_index.remove(id);
        let reservation = self.runners[decode].remove_reservation(now, id, &self.spec.pool)?;
        self.runners[reservation.prefill].remove_prefill(now, id, false, &self.spec.pool);
        Some((decode, reservation))
    }

    /// Takes over a grant of the previous shard owner, even if it exceeds the free capacity.
    pub(crate) fn adopt(&mut self, now: Millis, adoption: Adoption) {
        let find = |id| self.runners.iter().position(|r| r.spec.id == id);
        let (Some(prefill), Some(decode)) = (find(adoption.prefill), find(adoption.decode)) else {
            return;
        };
        let request = adoption.request;
        if let Some(current) = self.reservation_index.decode_of(&request.attempt) {
            let reservation = self.runners[current].reservation_mut(&request.attempt);
            if current == decode
                && reservation.is_some_and(|reservation| reservation.prefill == prefill)
            {
                return;
            }
            // The entry host received the grant too late and has placed the request elsewhere.
            self.take_reservation(now, &request.attempt);
        }
        for class in [Class::Urgent, Class::Waiting] {
            let queue = self.queue_mut(class);
            queue.remove_if(|entry| entry.request.attempt == request.attempt);
        }
        let pool = &self.spec.pool;
        let counter = self.runners[decode].advance_token_counter(now, pool);
        let phase = match adoption.decoding {
            true => Phase::Decode,
            false => Phase::Prefill,
        };
        let prefill_end = now + pool.service_time(&request);
        let expires = match adoption.decoding {
            true => request.deadline + EXPIRY_GRACE,
            false => prefill_end + EXPIRY_GRACE,
        };
        let reservation = Reservation {
            prefill,
            pieces: request.pieces().0,
            max_batch: pool.max_batch(request.token_gap),
            phase,
            owns_slot: true,
            granted_at: now,
            prefill_end,
            first_token: prefill_end,
            // The last report may already include this decode.
            decode_start: Millis::ZERO,
            predicted_end: request.deadline,
            // How many tokens are already generated is unknown.
            token_counter_range: (counter, counter + request.max_output.0 as f64),
            expires,
            request,
        };
        if adoption.decoding {
            self.runners[decode].remove_foreign_decode(reservation.pieces);
        } else {
            let (id, prompt) = (reservation.attempt().clone(), reservation.request.prompt);
            self.runners[prefill].push_prefill(now, id, prompt);
        }
        self.reservation_index
            .insert(reservation.attempt().clone(), decode);
        self.runners[decode].reservations.push(reservation);
    }

    pub(crate) fn host_dead(
        &mut self,
        now: Millis,
        host: HostId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        self.deny_if(Refusal::CallerDisconnected, actions, |request| {
            is_from_process(&request.attempt, &host, incarnation)
        });
        let known = self
            .dead_hosts
            .iter()
            .any(|d| d.0 == host && d.1 == incarnation);
        if !known {
            self.dead_hosts
                .push((host, incarnation, now + DEAD_HOST_GRACE));
        }
    }

    pub(crate) fn host_alive(&mut self, host: &HostId, incarnation: Incarnation) {
        self.dead_hosts
            .retain(|d| d.0 != *host || d.1 != incarnation);
    }

    /// Cancels expired grants and the grants of hosts that stayed dead for the grace time.
    pub(crate) fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let (dead, pending) = self.dead_hosts.drain(..).partition(|d| d.2 <= now);
        self.dead_hosts = pending;
        let is_from_dead = |id: &AttemptId| {
            let dead: &Vec<(HostId, Incarnation, Millis)> = &dead;
            dead.iter().any(|d| is_from_process(id, &d.0, d.1))
        };
        let mut cancelled = Vec::new();
        let mut overdue_prefills = Vec::new();
        for (decode, runner) in self.runners.iter_mut().enumerate() {
            let counter = runner.advance_token_counter(now, &self.spec.pool);
            for reservation in &mut runner.reservations {
                if is_from_dead(reservation.attempt()) {
                    cancelled.push(reservation.attempt().clone());
                } else if reservation.expires <= now
                    && reservation.phase == Phase::Prefill
                    && reservation.owns_slot
                {
                    // The PrefillDone message may be lost while decode runs, so the slot stays
                    // reserved.
                    let tokens = reservation.request.max_output.0 as f64;
                    reservation.start_decode(
                        now,
                        counter,
                        tokens,
                        reservation.request.deadline + EXPIRY_GRACE,
                    );
                    overdue_prefills.push((
                        decode,
                        reservation.prefill,
                        reservation.attempt().clone(),
                    ));
                } else if reservation.expires <= now {
                    cancelled.push(reservation.attempt().clone());
                }
            }
        }
        for (_, prefill, attempt) in overdue_prefills {
            self.runners[prefill].remove_prefill(now, &attempt, false, &self.spec.pool);
            let runner = self.runners[prefill].spec.id.clone();
            actions.push(Action::Cancel { runner, attempt });
        }
        for attempt in cancelled {
            self.cancel(now, attempt, actions);
        }
    }

    fn cancel(&mut self, now: Millis, attempt: AttemptId, actions: &mut Vec<Action>) {
        let Some((decode, reservation)) = self.take_reservation(now, &attempt) else {
            return;
        };
        for index in [reservation.prefill, decode] {
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

fn is_from_process(attempt: &AttemptId, host: &HostId, incarnation: Incarnation) -> bool {
    attempt.request.host == *host && attempt.request.incarnation == incarnation
}
