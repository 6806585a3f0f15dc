//! Queue of generations that wait for a placement.
//!
//! Organisations are served by weighted fair queueing: each admission advances the virtual time of
//! its organisation by the expected tokens divided by its weight. Among the next generations of all
//! organisations, higher priority goes first, then the smallest virtual time. Within an
//! organisation, higher priority goes first, then the shorter expected length, so that short answers
//! do not wait behind long ones. A generation that has waited longer than a limit is no longer
//! overtaken, except by very short ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

use crate::sequence::SchedulingRequest;

/// Identifies a queued generation. Tickets ascend in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A queued scheduling request.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// The scheduling request.
    pub request: SchedulingRequest,
    /// Expected further output tokens plus prompt tokens.
    pub expected_tokens: u32,
    /// When it was queued.
    pub queued_at: Instant,
}

/// Order within an organisation: higher priority, then shorter expected length, then older.
type ServiceKey = (std::cmp::Reverse<u8>, u32, Ticket);

#[derive(Clone, Debug, Default)]
struct OrganisationQueue {
    virtual_time: f64,
    expected_tokens: u64,
    order: BTreeSet<ServiceKey>,
}

/// Weighted fair queue of generations.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    waiting: BTreeMap<Ticket, QueuedRequest>,
    organisations: BTreeMap<OrganisationIx, OrganisationQueue>,
    weights: BTreeMap<OrganisationIx, Weight>,
    virtual_time: f64,
    next: u64,
    expected_tokens: u64,
}

/// Returns the sort key of a generation. Generations with delivered tokens precede all others.
fn service_key(ticket: Ticket, waiting: &QueuedRequest) -> ServiceKey {
    let started = waiting.request.delivered > 0;
    let priority = if started { u8::MAX } else { waiting.request.priority };
    (std::cmp::Reverse(priority), waiting.expected_tokens, ticket)
}

impl FairQueue {
    /// Sets the weight of an organisation.
    pub fn set_weight(&mut self, organisation: OrganisationIx, weight: Weight) {
        self.weights.insert(organisation, weight);
    }

    /// Returns the number of queued generations.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns true when the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the expected tokens of all queued generations.
    pub fn expected_tokens(&self) -> u64 {
        self.expected_tokens
    }

    /// Adds a generation.
    pub fn push(&mut self, waiting: QueuedRequest) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let floor = self.virtual_time;
        let organisation = self.organisations.entry(waiting.request.organisation).or_default();
        if organisation.order.is_empty() {
            organisation.virtual_time = organisation.virtual_time.max(floor);
        }
        organisation.order.insert(service_key(ticket, &waiting));
        organisation.expected_tokens += u64::from(waiting.expected_tokens);
        self.expected_tokens += u64::from(waiting.expected_tokens);
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Returns a queued generation.
    pub fn get(&self, ticket: Ticket) -> Option<&QueuedRequest> {
        self.waiting.get(&ticket)
    }

    /// Removes a generation without charging its organisation.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let waiting = self.waiting.remove(&ticket)?;
        if let Some(organisation) = self.organisations.get_mut(&waiting.request.organisation) {
            organisation.order.remove(&service_key(ticket, &waiting));
            organisation.expected_tokens -= u64::from(waiting.expected_tokens);
        }
        self.expected_tokens -= u64::from(waiting.expected_tokens);
        Some(waiting)
    }

    /// Removes an admitted generation and charges its organisation.
    pub fn admit(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let waiting = self.remove(ticket)?;
        self.charge(waiting.request.organisation, waiting.expected_tokens);
        Some(waiting)
    }

    /// Charges an organisation for expected tokens.
    pub fn charge(&mut self, organisation: OrganisationIx, expected_tokens: u32) {
        let weight = self.weights.get(&organisation).map_or(1, |weight| weight.0.max(1));
        let floor = self.virtual_time;
        let queue = self.organisations.entry(organisation).or_default();
        queue.virtual_time =
            queue.virtual_time.max(floor) + f64::from(expected_tokens) / f64::from(weight);
        let active = self.organisations.values().filter(|queue| !queue.order.is_empty());
        let least = active.map(|queue| queue.virtual_time).min_by(f64::total_cmp);
        self.virtual_time = self.virtual_time.max(least.unwrap_or(floor));
    }

    /// Returns the oldest generation if it has waited for `limit` or longer.
    pub fn overdue(&self, now: Instant, limit: Duration) -> Option<Ticket> {
        let (ticket, oldest) = self.waiting.first_key_value()?;
        (now.saturating_duration_since(oldest.queued_at) >= limit).then_some(*ticket)
    }

    /// Writes the next generation of each organisation to `out`, up to `limit`, ordered by priority
    /// and then by the virtual time of the organisation.
    pub fn heads(&self, limit: usize, out: &mut Vec<Ticket>) {
        out.clear();
        let mut heads: Vec<(f64, ServiceKey)> = Vec::new();
        for organisation in self.organisations.values() {
            if let Some(key) = organisation.order.first() {
                heads.push((organisation.virtual_time, *key));
            }
        }
        heads.sort_by(|a, b| a.1.0.cmp(&b.1.0).then(a.0.total_cmp(&b.0)));
        out.extend(heads.iter().take(limit).map(|(_, (_, _, ticket))| *ticket));
    }

    /// Returns the generation to shed in overload: the newest of the lowest priority, from the
    /// organisation with the most queued tokens relative to its weight.
    pub fn shed_candidate(&self) -> Option<Ticket> {
        let share = |organisation: &OrganisationIx, queue: &OrganisationQueue| {
            let weight = self.weights.get(organisation).map_or(1, |weight| weight.0.max(1));
            queue.expected_tokens as f64 / f64::from(weight)
        };
        let waiting = self.organisations.iter().filter(|(_, queue)| !queue.order.is_empty());
        let largest = waiting.max_by(|a, b| share(a.0, a.1).total_cmp(&share(b.0, b.1)))?;
        let newest =
            largest.1.order.iter().max_by_key(|(priority, _, ticket)| (*priority, *ticket));
        newest.map(|(_, _, ticket)| *ticket)
    }

    /// Iterates over the queued generations in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (Ticket, &QueuedRequest)> {
        self.waiting.iter().map(|(ticket, waiting)| (*ticket, waiting))
    }
}
