//! The periodic tick, which places, refuses and migrates generations.

use std::time::Instant;

use camphorloft_types::prelude::*;

use crate::decider::{Decider, HEADS_PER_ROUND, NO_ENDPOINT_RETRY_AFTER};
use crate::decision::{RefuseReason, Refused, TickOutput};
use crate::fair_queue::Ticket;
use crate::lengths::Lengths;

/// Largest number of generations placed per tick.
const PLACED_PER_TICK: usize = 256;
/// Expected length, in tokens, up to which a generation may overtake an overdue one.
const SHORT_TOKENS: u32 = 96;

impl<L> Decider<L>
where
    L: Lengths,
{
    /// Places, refuses and migrates generations. Call it every 20 to 100 milliseconds.
    pub fn tick(&mut self, now: Instant, out: &mut TickOutput) {
        out.clear();
        self.refresh_forecasts(now);
        self.rebalance(now, out);
        self.place_waiting(now, out);
        self.refuse_unplaceable(now, out);
        out.refused.append(&mut self.shed);
    }

    fn place_waiting(&mut self, now: Instant, out: &mut TickOutput) {
        let overdue = self.queue.overdue(now, self.settings.overtake_limit);
        let blocked = overdue.is_some_and(|ticket| !self.place_ticket(ticket, now, out));
        let mut heads = std::mem::take(&mut self.heads);
        let mut progress = true;
        while progress && out.placed.len() < PLACED_PER_TICK {
            progress = false;
            self.queue.heads(HEADS_PER_ROUND, &mut heads);
            for ticket in &heads {
                let expected = self.queue.get(*ticket).map_or(0, |waiting| waiting.expected_tokens);
                if blocked && expected > SHORT_TOKENS {
                    continue;
                }
                if self.place_ticket(*ticket, now, out) {
                    progress = true;
                    break;
                }
            }
        }
        self.heads = heads;
    }

    fn place_ticket(&mut self, ticket: Ticket, now: Instant, out: &mut TickOutput) -> bool {
        let Some(waiting) = self.queue.get(ticket).copied() else { return false };
        let Some(placed) = self.try_place(&waiting.request, now, waiting.queued_at) else {
            return false;
        };
        self.queue.admit(ticket);
        self.tickets.remove(&waiting.request.generation);
        out.placed.push(placed);
        true
    }

    /// Refuses queued generations whose route has no eligible endpoint left and those whose request
    /// is now refused as poison.
    fn refuse_unplaceable(&mut self, now: Instant, out: &mut TickOutput) {
        let no_endpoint = RefuseReason::NoEndpoint(NO_ENDPOINT_RETRY_AFTER);
        let unplaceable: Vec<(Ticket, GenerationId, RefuseReason)> = self
            .queue
            .iter()
            .filter_map(|(ticket, waiting)| {
                let request = &waiting.request;
                let reason = if self.poison.is_refused(request.fingerprint, now) {
                    RefuseReason::Poison
                } else if !self.has_eligible_endpoint(request, now) {
                    no_endpoint
                } else {
                    return None;
                };
                Some((ticket, request.generation, reason))
            })
            .collect();
        for (ticket, generation, reason) in unplaceable {
            self.queue.remove(ticket);
            self.tickets.remove(&generation);
            out.refused.push(Refused { generation, reason });
        }
    }
}
