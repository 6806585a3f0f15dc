//! Queue of the requests of one service that wait at a host for an endpoint: generations for the memory
//! of an engine, calls of a plain service for a slot.
//!
//! Handles bursts of one kind of request of 1.5 to 2.5 times its usual rate for several seconds while
//! a sixth of the engines is being reclaimed. An engine filled beyond its memory preempts running
//! generations, so generations wait at the host; the queue decides which of them gets the memory that
//! becomes free, and which are refused because they cannot be completed in time.
//!
//! Order: interrupted streams first, then by priority. Within a priority, organisations that had more
//! than their share come last. Those generations that can still be in time come first, by the time that
//! is left for them, and then the others by arrival. While nothing waits, a generation is admitted on
//! the same conditions as by [`crate::admission`].
//!
//! So that no kind of request starves, one generation in three of each priority comes first once it has
//! waited for half of the time for which it can wait at all.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use rand::Rng;

use crate::admission::{
    Admission, MAX_FILL, MAX_FILL_AFTER_WAIT, MAX_FILL_IF_BRITTLE, RefuseReason,
};
use crate::admission_terms::AdmissionTerms;
use crate::candidates::Candidates;
use crate::completions::Completions;
use crate::fleet::Fleet;
use crate::generation;
use crate::organisation_usage::OrganisationUsage;
use crate::peer_queues::{PeerQueues, QueueState};
use crate::plain;
use crate::pool::Pool;
use crate::queued_work::QueuedWork;
use crate::return_schedule::ReturnSchedule;
use crate::waiting_ahead::WaitingAhead;

/// Expected memory use of an engine, as a fraction, up to which a generation is admitted while another
/// one waits that comes before it. The rest is kept for that one: a tenth of an engine's memory is most of a prompt in current deployments.
const MAX_FILL_BEHIND: f64 = 0.9;
/// Prompt tokens that an engine may still have to prefill when a generation is admitted while another one
/// waits that comes before it, or whose organisation exceeds its share. An engine is busy with them for
/// longer than the time between two decisions, so it loses nothing if further ones wait at the host, where
/// more urgent ones can overtake them.
const MAX_PREFILL_BEHIND: u32 = 5_000;
/// Time for which memory is kept for urgent generations after one has waited.
const URGENT_PERIOD: Duration = Duration::from_secs(1);
/// Base delay before a client retries that was refused because no engine is usable: replacement
/// engines become available within about this time.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Largest fraction of the time that a client has left for which it honours a retry delay.
const MAX_RETRY_FRACTION: u32 = 3;
/// One generation in this number is protected from starving. It is a share of a priority's requests, not
/// of the work, so that it also holds at hosts with few requests.
const PROTECTED_INTERVAL: u32 = 3;
/// Largest number of generations that wait.
const MAX_ENTRIES: usize = 1_000;
/// Largest number of priorities that are told apart.
const PRIORITIES: usize = 16;

/// Identifies a queued generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The engines that the generations of a queue wait for.
pub trait Engines<Item> {
    /// Requests admission for a generation. If it starts, the engine's load has to include it from then
    /// on.
    fn admit(&mut self, work: &QueuedWork, item: &Item, terms: &AdmissionTerms) -> Admission;

    /// Returns the expected number of tokens of memory that become free per second.
    fn freed_per_second(&mut self) -> f64;

    /// Returns a uniform random number in `[0, 1)`.
    fn draw(&mut self) -> f64;
}

#[derive(Debug)]
struct Entry<Item> {
    ticket: Ticket,
    work: QueuedWork,
    /// Whether it comes first once it has waited for long.
    is_protected: bool,
    item: Item,
}

impl<Item> Entry<Item> {
    fn comes_first(&self, now: Instant) -> bool {
        self.is_protected && self.work.has_waited_long(now)
    }
}

/// Queue of the generations of one service.
#[derive(Debug)]
pub struct AdmissionQueue<Item> {
    entries: Vec<Entry<Item>>,
    /// What waits at other hosts.
    pub peers: PeerQueues,
    /// Runs of this host that ended.
    pub completions: Completions,
    /// When generations of each priority last waited.
    waited_at: [Option<Instant>; PRIORITIES],
    returns: ReturnSchedule,
    usage: OrganisationUsage,
    /// Number of generations of each priority that arrived.
    arrived: [u32; PRIORITIES],
    /// Size of the bodies of all generations that wait, in bytes, and its limit.
    body_bytes: u64,
    max_body_bytes: u64,
    next: u64,
}

impl<Item> Default for AdmissionQueue<Item> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            peers: PeerQueues::default(),
            completions: Completions::default(),
            waited_at: [None; PRIORITIES],
            returns: ReturnSchedule::default(),
            usage: OrganisationUsage::default(),
            arrived: [0; PRIORITIES],
            body_bytes: 0,
            max_body_bytes: u64::MAX,
            next: 0,
        }
    }
}

impl<Item> AdmissionQueue<Item> {
    /// Adds a generation, which [`Self::pass`] admits or refuses.
    pub fn push(&mut self, work: QueuedWork, item: Item) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let arrived = &mut self.arrived[priority_ix(work.priority)];
        let is_protected = arrived.is_multiple_of(PROTECTED_INTERVAL);
        *arrived = arrived.wrapping_add(1);
        self.body_bytes += work.body_bytes;
        self.entries.push(Entry { ticket, work, is_protected, item });
        ticket
    }

    /// Limits the size of the bodies of all generations that wait, in bytes.
    pub fn set_max_body_bytes(&mut self, max: u64) {
        self.max_body_bytes = max;
    }

    /// Removes a generation whose client has left.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let at = self.entries.iter().position(|entry| entry.ticket == ticket)?;
        let entry = self.entries.swap_remove(at);
        self.body_bytes -= entry.work.body_bytes;
        Some(entry.item)
    }

    /// Returns the number of generations that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when no generation waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns any of the generations that wait.
    pub fn first(&self) -> Option<&Item> {
        self.entries.first().map(|entry| &entry.item)
    }

    /// Returns the most urgent priority that waits, with its memory needs, to be told to other hosts.
    pub fn state(&self) -> Option<QueueState> {
        let waiting = || self.entries.iter().filter(|entry| !entry.work.is_restricted);
        let priority = waiting().map(|entry| entry.work.priority).min()?;
        let tokens = waiting().filter(|entry| entry.work.priority == priority);
        let tokens = tokens.map(|entry| entry.work.tokens()).sum::<u64>();
        Some(QueueState { priority, tokens: u32::try_from(tokens).unwrap_or(u32::MAX) })
    }

    /// Admits generations in the order of the queue as far as there is room, and refuses those that
    /// cannot be completed in time. Returns both with the decision.
    pub fn pass<Service>(&mut self, engines: &mut Service, now: Instant) -> Vec<(Item, Admission)>
    where
        Service: Engines<Item>,
    {
        let mut decided = Vec::new();
        self.shed(engines, now, &mut decided);
        let usage = &self.usage;
        self.entries.sort_by_cached_key(|entry| Place::new(entry, usage, now));
        let mut ahead = WaitingAhead::default();
        let mut freed_per_second = None;
        let mut kept = Vec::with_capacity(self.entries.len());
        for entry in std::mem::take(&mut self.entries) {
            let work = &entry.work;
            let terms = self.terms(&entry, &ahead, now);
            let admission = match ahead.blocks(work, &terms) {
                true => Admission::Wait,
                false => engines.admit(work, &entry.item, &terms),
            };
            if admission != Admission::Wait {
                self.body_bytes -= work.body_bytes;
                if let Admission::Start(_) = admission {
                    self.usage.record(work.organisation.as_ref(), work.tokens(), now);
                }
                decided.push((entry.item, admission));
                continue;
            }
            let freed = *freed_per_second.get_or_insert_with(|| engines.freed_per_second());
            let tokens_ahead = match entry.is_protected {
                true => 0,
                false => ahead.tokens + self.peers.tokens(work.priority, now),
            };
            if is_hopeless(work, tokens_ahead, freed, now) {
                decided.push(self.refuse(entry, tokens_ahead, freed, engines.draw(), now));
                continue;
            }
            ahead.add(work, &terms);
            if !work.is_restricted {
                self.waited_at[priority_ix(work.priority)] = Some(now);
            }
            kept.push(entry);
        }
        self.entries = kept;
        decided
    }

    /// Refuses generations beyond the bounds of the queue, first those that cost clients least.
    fn shed<Service>(
        &mut self,
        engines: &mut Service,
        now: Instant,
        decided: &mut Vec<(Item, Admission)>,
    ) where
        Service: Engines<Item>,
    {
        while self.entries.len() > MAX_ENTRIES || self.body_bytes > self.max_body_bytes {
            let usage = &self.usage;
            let costs = self.entries.iter().map(|entry| cost_of_refusal(entry, usage, now));
            let Some((at, _)) = costs.enumerate().min_by_key(|(_, cost)| *cost) else { return };
            let entry = self.entries.swap_remove(at);
            let priority = entry.work.priority;
            let ahead = self.entries.iter().filter(|other| other.work.priority <= priority);
            let ahead = ahead.map(|other| other.work.tokens()).sum::<u64>();
            let tokens_ahead = ahead + self.peers.tokens(priority, now);
            let (freed, draw) = (engines.freed_per_second(), engines.draw());
            decided.push(self.refuse(entry, tokens_ahead, freed, draw, now));
        }
    }

    fn refuse(
        &mut self,
        entry: Entry<Item>,
        tokens_ahead: u64,
        freed_per_second: f64,
        draw: f64,
        now: Instant,
    ) -> (Item, Admission) {
        let work = &entry.work;
        self.body_bytes -= work.body_bytes;
        let max_delay = work.deadline.saturating_duration_since(now) / MAX_RETRY_FRACTION;
        let request = (work.priority, work.tokens());
        let retry_after =
            self.returns.schedule(request, tokens_ahead, freed_per_second, max_delay, draw, now);
        (entry.item, Admission::Refuse { reason: RefuseReason::NoCapacity, retry_after })
    }

    fn terms(&self, entry: &Entry<Item>, ahead: &WaitingAhead, now: Instant) -> AdmissionTerms {
        let work = &entry.work;
        let exceeds_share = self.usage.exceeds_share(work.organisation.as_ref());
        let has_turn = entry.comes_first(now) && !exceeds_share;
        let is_behind = !has_turn && self.is_behind(work, ahead, now);
        let max_prefill = (is_behind || exceeds_share).then_some(MAX_PREFILL_BEHIND);
        let has_waited = work.time_to_start(now).is_zero();
        let max_fill = match (is_behind, has_waited) {
            (true, _) => MAX_FILL_BEHIND,
            (false, true) => MAX_FILL_AFTER_WAIT,
            (false, false) => MAX_FILL,
        };
        AdmissionTerms {
            max_fill,
            max_prefill,
            due: work.due(now),
            max_delay: work.time_to_start(now),
        }
    }

    /// Returns true if a generation waits that comes before this one, or a more urgent one has waited
    /// within [`URGENT_PERIOD`].
    fn is_behind(&self, work: &QueuedWork, ahead: &WaitingAhead, now: Instant) -> bool {
        if work.resumes {
            return false;
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) <= URGENT_PERIOD;
        let more_urgent = &self.waited_at[..priority_ix(work.priority)];
        ahead.tokens > 0
            || more_urgent.iter().flatten().any(is_recent)
            || self.peers.most_urgent(now).is_some_and(|priority| priority < work.priority)
    }
}

/// Place of a generation in the queue: the smallest is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    is_new: bool,
    /// False once the generation comes first so that its kind does not starve.
    has_no_turn: bool,
    priority: u8,
    exceeds_share: bool,
    /// False once the generation comes first among those of its organisation, which had more than its
    /// share.
    has_no_turn_in_share: bool,
    is_late: bool,
    /// Those that are late have none and keep the order of arrival.
    slack: Duration,
    arrived_at: Instant,
    work: u64,
}

impl Place {
    fn new<Item>(entry: &Entry<Item>, usage: &OrganisationUsage, now: Instant) -> Self {
        let work = &entry.work;
        let slack = work.slack(now);
        let comes_first = entry.comes_first(now);
        let exceeds_share = usage.exceeds_share(work.organisation.as_ref());
        Self {
            is_new: !work.resumes,
            has_no_turn: !comes_first || exceeds_share,
            priority: if comes_first { 0 } else { work.priority },
            exceeds_share,
            has_no_turn_in_share: !comes_first,
            is_late: slack.is_none(),
            slack: slack.unwrap_or_default(),
            arrived_at: if slack.is_none() { work.arrived_at } else { now },
            work: work.work(),
        }
    }
}

/// Cost of the refusal of a generation to the clients; the smallest is refused first.
fn cost_of_refusal<Item>(
    entry: &Entry<Item>,
    usage: &OrganisationUsage,
    now: Instant,
) -> (bool, Reverse<u8>, bool, bool, bool, Reverse<u64>) {
    let work = &entry.work;
    (
        work.resumes,
        Reverse(work.priority),
        entry.is_protected,
        !usage.exceeds_share(work.organisation.as_ref()),
        !work.is_late(now),
        Reverse(work.work()),
    )
}

/// Returns true if a generation cannot be completed before its deadline, given what is ahead of it.
fn is_hopeless(work: &QueuedWork, tokens_ahead: u64, freed_per_second: f64, now: Instant) -> bool {
    let wait = match freed_per_second > 0.0 {
        true => tokens_ahead as f64 / freed_per_second,
        // No report of an engine is known.
        false => 0.0,
    };
    wait >= work.time_to_complete(now).as_secs_f64()
}

fn priority_ix(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// Returns engines that this host leaves to others for a moment, drawn at random. While generations
/// wait at `hosts` other hosts, each engine that gets room is considered by about one of them, because
/// they learn of each other's placements with a delay.
pub fn engines_left_to_others<Draws>(
    pool: &Pool<'_>,
    hosts: usize,
    rng: &mut Draws,
) -> Vec<EndpointIx>
where
    Draws: Rng,
{
    let share = 1.0 / (hosts + 1) as f64;
    let engines = pool.fleet.of_service(pool.service).map(|(ix, _)| ix);
    engines.filter(|_| hosts > 0 && rng.random::<f64>() > share).collect()
}

/// Selects an engine for a generation on the given terms, none of `excluded`. The result is to wait if
/// none has room. If none is usable, the generation is refused once it has to start to be in time.
pub fn admit<Draws>(
    pool: &Pool<'_>,
    work: &QueuedWork,
    candidates: &Candidates<'_>,
    excluded: &[EndpointIx],
    terms: &AdmissionTerms,
    now: Instant,
    rng: &mut Draws,
) -> Admission
where
    Draws: Rng,
{
    let tried = [candidates.tried, excluded].concat();
    let candidates = Candidates { max_delay: terms.max_delay, ..*candidates };
    let allowed = Candidates { tried: &tried, ..candidates };
    let is_brittle = pool.fleet.brittleness(pool.service, now).is_some();
    let choice = generation::choose(pool, &work.demand, &allowed, terms.due, now, rng);
    let Some(choice) = choice else {
        if !excluded.is_empty() {
            return Admission::Wait;
        }
        if let Some(until) = pool.fleet.limited_for(pool.service, &candidates, now) {
            let retry_after = until.mul_f64(1.0 + rng.random::<f64>());
            return Admission::Refuse { reason: RefuseReason::Limited, retry_after };
        }
        // Brittle engines are excluded while they are full.
        if !terms.max_delay.is_zero() || is_brittle {
            return Admission::Wait;
        }
        let retry_after = NO_ENDPOINT_RETRY_AFTER.mul_f64(1.0 + rng.random::<f64>());
        return Admission::Refuse { reason: RefuseReason::NoEndpoint, retry_after };
    };
    let max_fill = match is_brittle {
        true => terms.max_fill.min(MAX_FILL_IF_BRITTLE),
        false => terms.max_fill,
    };
    match choice.fill <= max_fill && terms.allows_prefill(choice.prefill_tokens) {
        true => Admission::Start(choice),
        false => Admission::Wait,
    }
}

/// Selects an endpoint with a free slot for a call of a plain service. The result is to wait if there is
/// none, although endpoints are usable.
pub fn admit_call<Draws>(
    fleet: &Fleet,
    service: &ServiceName,
    candidates: &Candidates<'_>,
    now: Instant,
    rng: &mut Draws,
) -> Admission
where
    Draws: Rng,
{
    let full = fleet.of_service(service).filter(|(_, endpoint)| !endpoint.has_free_slot(now));
    let mut tried: Vec<EndpointIx> = full.map(|(ix, _)| ix).collect();
    tried.extend(candidates.tried);
    let free = Candidates { tried: &tried, ..*candidates };
    if let Some(choice) = plain::choose(fleet, service, &free, now, rng) {
        return Admission::Start(choice);
    }
    if plain::choose(fleet, service, candidates, now, rng).is_some() {
        return Admission::Wait;
    }
    let limited_for = fleet.limited_for(service, candidates, now);
    let reason = match limited_for {
        Some(_) => RefuseReason::Limited,
        None => RefuseReason::NoEndpoint,
    };
    Admission::Refuse { reason, retry_after: limited_for.unwrap_or_default() }
}
