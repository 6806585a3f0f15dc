//! Queue of the generations of one service that wait at a host for an engine.
//!
//! Handles bursts of one kind of request of 1.5 to 2.5 times its usual rate for several seconds while
//! a sixth of the engines is being reclaimed. An engine filled beyond its memory preempts running
//! generations, so generations wait at the host; the queue decides which of them gets the memory that
//! becomes free, and which are refused because they cannot be completed in time.
//!
//! Order: interrupted streams first, then by priority. Within a priority, those that can still be in
//! time come first, by the time that is left for them, and then the others by arrival. While nothing
//! waits, a generation is admitted on the same conditions as by [`crate::admission`].

use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;
use rand::Rng;

use crate::admission::{Admission, RefuseReason};
use crate::candidates::Candidates;
use crate::completions::Completions;
use crate::generation;
use crate::peer_queues::{PeerQueues, QueueState};
use crate::pool::Pool;
use crate::queued_work::QueuedWork;
use crate::return_schedule::ReturnSchedule;

/// Expected memory use of an engine, as a fraction, up to which a generation is admitted.
const MAX_FILL: f64 = 1.0;
/// The same for an engine that crashes when it has to refuse many requests.
const MAX_FILL_IF_BRITTLE: f64 = 0.9;
/// The same for a generation that has to start now to be in time, while nothing more urgent waits.
const MAX_FILL_AFTER_WAIT: f64 = 1.15;
/// The same for a generation while another one waits that comes before it. The rest is kept for that
/// one: a tenth of an engine's memory is most of a prompt in current deployments.
const MAX_FILL_BEHIND: f64 = 0.9;
/// Prompt tokens that an engine may still have to prefill when a generation is admitted. An engine is
/// busy with them for longer than the time between two decisions, so it loses nothing if further ones
/// wait at the host, where more urgent ones can overtake them.
const MAX_PREFILL: u32 = 7_000;
/// The same for a generation while another one waits that comes before it.
const MAX_PREFILL_BEHIND: u32 = 3_500;
/// Time for which memory is kept for urgent generations after one has waited.
const URGENT_PERIOD: Duration = Duration::from_secs(1);
/// Base delay before a client retries that was refused because no engine is usable: replacement
/// engines become available within about this time.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Largest fraction of the time that a client has left for which it honours a retry delay.
const MAX_RETRY_FRACTION: u32 = 3;
/// Largest number of priorities that are told apart.
const PRIORITIES: usize = 16;

/// Identifies a queued generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Conditions on which a generation is admitted at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionTerms {
    /// Largest expected memory use of the engine with the generation added, as a fraction.
    pub max_fill: f64,
    /// Largest number of prompt tokens that the engine still has to prefill before it.
    pub max_prefill: u32,
    /// Time until the first event is due.
    pub due: Duration,
    /// Maximum delay at an engine that limits requests.
    pub max_delay: Duration,
}

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
    item: Item,
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
            next: 0,
        }
    }
}

impl<Item> AdmissionQueue<Item> {
    /// Adds a generation, which [`Self::pass`] admits or refuses.
    pub fn push(&mut self, work: QueuedWork, item: Item) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.entries.push(Entry { ticket, work, item });
        ticket
    }

    /// Removes a generation whose client has left.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Item> {
        let at = self.entries.iter().position(|entry| entry.ticket == ticket)?;
        Some(self.entries.swap_remove(at).item)
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
        self.entries.sort_by_cached_key(|entry| order(&entry.work, now));
        let mut ahead = Ahead::default();
        let mut freed_per_second = None;
        let mut kept = Vec::with_capacity(self.entries.len());
        for entry in std::mem::take(&mut self.entries) {
            let work = &entry.work;
            let terms = self.terms(work, &ahead, now);
            let admission = match ahead.blocks(work, &terms) {
                true => Admission::Wait,
                false => engines.admit(work, &entry.item, &terms),
            };
            if admission != Admission::Wait {
                decided.push((entry.item, admission));
                continue;
            }
            let freed = *freed_per_second.get_or_insert_with(|| engines.freed_per_second());
            let tokens_ahead = ahead.tokens + self.peers.tokens(work.priority, now);
            if is_hopeless(work, tokens_ahead, freed, now) {
                let max_delay = work.deadline.saturating_duration_since(now) / MAX_RETRY_FRACTION;
                let retry_after = self.returns.schedule(
                    (work.priority, work.tokens()),
                    tokens_ahead,
                    freed,
                    max_delay,
                    engines.draw(),
                    now,
                );
                let reason = RefuseReason::NoCapacity;
                decided.push((entry.item, Admission::Refuse { reason, retry_after }));
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

    fn terms(&self, work: &QueuedWork, ahead: &Ahead, now: Instant) -> AdmissionTerms {
        let is_behind = self.is_behind(work, ahead, now);
        let max_prefill = if is_behind { MAX_PREFILL_BEHIND } else { MAX_PREFILL };
        let max_fill = if is_behind {
            MAX_FILL_BEHIND
        } else if work.time_to_start(now).is_zero() && !work.is_late(now) {
            MAX_FILL_AFTER_WAIT
        } else {
            MAX_FILL
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
    fn is_behind(&self, work: &QueuedWork, ahead: &Ahead, now: Instant) -> bool {
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

/// The generations that were found not to fit during a pass.
#[derive(Clone, Debug, Default)]
struct Ahead {
    /// Memory that they need, in tokens.
    tokens: u64,
    /// Smallest memory needs of one that did not fit, with the condition.
    blocked: Vec<(u64, AdmissionTerms)>,
}

impl Ahead {
    fn add(&mut self, work: &QueuedWork, terms: &AdmissionTerms) {
        if work.is_restricted {
            return;
        }
        self.tokens += work.tokens();
        if !self.blocks(work, terms) {
            self.blocked.push((work.tokens(), *terms));
        }
    }

    /// Returns true if one that needs no more memory did not fit on conditions as good as these.
    fn blocks(&self, work: &QueuedWork, terms: &AdmissionTerms) -> bool {
        let tokens = work.tokens();
        self.blocked.iter().any(|(least, better)| {
            *least <= tokens
                && terms.max_fill <= better.max_fill
                && terms.max_prefill <= better.max_prefill
        })
    }
}

/// Sort key of a generation: the smallest is admitted first.
fn order(work: &QueuedWork, now: Instant) -> (bool, u8, bool, Duration, Instant, u64) {
    let slack = work.slack(now);
    let is_late = slack.is_none();
    // Those that are late have no slack and keep the order of arrival.
    let slack = slack.unwrap_or_default();
    let arrived_at = if is_late { work.arrived_at } else { now };
    (!work.resumes, work.priority, is_late, slack, arrived_at, work.work())
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
    match choice.fill <= max_fill && choice.prefill_tokens <= terms.max_prefill {
        true => Admission::Start(choice),
        false => Admission::Wait,
    }
}
