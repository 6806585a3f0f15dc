//! Recognises requests that crash the endpoints that run them.
//!
//! Answers a load in which requests with a feature in common, the same content or one part of their
//! prompts, arrive at any host, and each of them crashes the endpoints that run it. Every host collects
//! the crashes of all endpoints with the features of the requests that each of them interrupted. Requests
//! with a feature that was interrupted by several crashes are refused.
//!
//! Other requests run on the same endpoints and share all other features with those. A feature is
//! therefore sound while requests with it finish, and a crash that a refused feature explains does not
//! count against the features that it interrupted besides.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

/// Number of crashes from which requests with a feature are refused.
pub const REFUSE_AT: usize = 3;
/// Number of crashes from which an interrupted request with a feature is not sent again.
const RESEND_LIMIT: usize = 2;
/// Time from the last crash until one request with a refused feature is let through, at [`REFUSE_AT`]
/// crashes. Sound requests may all have been interrupted, and none that is refused can finish.
const FIRST_PROBE_DELAY: Duration = Duration::from_secs(3);
/// Factor by which each further crash prolongs that time.
const PROBE_DELAY_FACTOR: u32 = 4;
/// Maximum number of times that it is prolonged.
const MAX_PROLONGATIONS: u32 = 4;
/// Time for which the outcome of such a request is awaited.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a crash is kept.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which a finished request shows that its features do not crash endpoints.
const SOUND_PERIOD: Duration = Duration::from_secs(30);
/// Maximum number of features with crashes.
const MAX_SUSPECTS: usize = 4096;
/// Maximum number of crashes kept of a feature.
const MAX_CRASHES: usize = 16;
/// Maximum number of features of finished requests.
const MAX_SOUND: usize = 1 << 14;

/// Crash of an endpoint that interrupted requests with a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeatureCrash {
    /// Feature.
    pub feature: RequestFeature,
    /// Digest of the endpoint's process.
    pub endpoint: u64,
    /// When it crashed.
    pub at: Instant,
}

/// How a crash of a feature was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashRecord {
    /// It was not known.
    New,
    /// It was known, or there is no room for it.
    Ignored,
    /// Requests with the feature finish, so that something else caused the crash.
    Refuted,
}

/// Features of requests that were interrupted by crashes.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    suspects: HashMap<RequestFeature, Vec<(u64, Instant)>>,
    /// When a request with a feature last finished.
    sound: HashMap<RequestFeature, Instant>,
    /// Groups of features. Requests that have all features of a group are refused.
    refused: Vec<Vec<RequestFeature>>,
    /// When this host last let a request with a group of refused features through, by its first one.
    probed: HashMap<RequestFeature, Instant>,
}

impl CrashSuspects {
    /// Records a crash.
    ///
    /// ```
    /// use camphorloft_dispatch::crash_suspects::{CrashSuspects, FeatureCrash};
    /// use camphorloft_types::prelude::*;
    /// use std::time::Instant;
    /// let (now, part) = (Instant::now(), RequestFeature::of_prompt_part("5c1e07a2"));
    /// let mut suspects = CrashSuspects::default();
    /// for endpoint in 1..=3 {
    ///     assert!(suspects.find_refused(&[part]).is_none());
    ///     suspects.record_crash(FeatureCrash { feature: part, endpoint, at: now });
    /// }
    /// assert!(suspects.find_refused(&[part]).is_some());
    /// ```
    pub fn record_crash(&mut self, crash: FeatureCrash) -> CrashRecord {
        if self.is_sound(crash.feature, crash.at) {
            return CrashRecord::Refuted;
        }
        let is_known = self.suspects.contains_key(&crash.feature);
        if !is_known && self.suspects.len() >= MAX_SUSPECTS {
            return CrashRecord::Ignored;
        }
        let crashes = self.suspects.entry(crash.feature).or_default();
        let is_recorded = crashes.iter().any(|(endpoint, _)| *endpoint == crash.endpoint);
        if is_recorded || crashes.len() >= MAX_CRASHES {
            return CrashRecord::Ignored;
        }
        crashes.push((crash.endpoint, crash.at));
        self.update_refused();
        CrashRecord::New
    }

    /// Records that a request with a feature finished at `at`, here or on another host. Returns true if
    /// the feature was suspected.
    pub fn record_finished(&mut self, feature: RequestFeature, at: Instant) -> bool {
        let known = self.sound.get(&feature).copied();
        if known.is_some() || self.sound.len() < MAX_SOUND {
            self.sound.insert(feature, known.map_or(at, |known| known.max(at)));
        }
        let Some(crashes) = self.suspects.get_mut(&feature) else { return false };
        crashes.retain(|(_, crashed_at)| *crashed_at > at + SOUND_PERIOD);
        if crashes.is_empty() {
            self.suspects.remove(&feature);
        }
        self.update_refused();
        true
    }

    /// Returns when a request with a feature last finished, if known.
    pub fn finished_at(&self, feature: RequestFeature) -> Option<Instant> {
        self.sound.get(&feature).copied()
    }

    fn is_sound(&self, feature: RequestFeature, crashed_at: Instant) -> bool {
        self.finished_at(feature).is_some_and(|at| crashed_at <= at + SOUND_PERIOD)
    }

    /// Returns the number of crashes that interrupted requests with a feature.
    pub fn crashes(&self, feature: RequestFeature) -> usize {
        self.suspects.get(&feature).map_or(0, Vec::len)
    }

    /// Returns the features for which requests with all of `features` are refused, if any.
    pub fn find_refused(&self, features: &[RequestFeature]) -> Option<&[RequestFeature]> {
        let has_all = |group: &&Vec<_>| group.iter().all(|feature| features.contains(feature));
        self.refused.iter().find(has_all).map(Vec::as_slice)
    }

    /// Returns true if a request with all of a group of refused features may be let through, to find out
    /// whether they crash endpoints, and records that. One host at a time does so. The time of the next
    /// such request follows from the known crashes, so that it is the same on all hosts.
    ///
    /// ```
    /// use camphorloft_dispatch::crash_suspects::{CrashSuspects, FeatureCrash};
    /// use camphorloft_types::prelude::*;
    /// use std::time::{Duration, Instant};
    /// let (now, feature) = (Instant::now(), RequestFeature::of_prompt_part("5c1e07a2"));
    /// let mut suspects = CrashSuspects::default();
    /// for endpoint in 1..=3 {
    ///     suspects.record_crash(FeatureCrash { feature, endpoint, at: now });
    /// }
    /// let later = now + Duration::from_secs(4);
    /// assert!(!suspects.begin_probe(&[feature], now));
    /// assert!(suspects.begin_probe(&[feature], later));
    /// assert!(!suspects.begin_probe(&[feature], later), "the outcome is awaited");
    /// ```
    pub fn begin_probe(&mut self, group: &[RequestFeature], now: Instant) -> bool {
        let Some((feature, crashes)) =
            group.first().and_then(|feature| Some((*feature, self.suspects.get(feature)?)))
        else {
            return false;
        };
        let prolongations = u32::try_from(crashes.len().saturating_sub(REFUSE_AT));
        let prolongations = prolongations.map_or(MAX_PROLONGATIONS, |n| n.min(MAX_PROLONGATIONS));
        let delay = FIRST_PROBE_DELAY * PROBE_DELAY_FACTOR.pow(prolongations);
        let last = crashes.iter().map(|(_, at)| *at).max();
        let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= delay);
        let is_awaited = self
            .probed
            .get(&feature)
            .is_some_and(|at| now.saturating_duration_since(*at) < PROBE_TIMEOUT);
        if !is_due || is_awaited {
            return false;
        }
        self.probed.insert(feature, now);
        true
    }

    /// Returns true if an interrupted request with these features may be sent again.
    pub fn may_resend(&self, features: &[RequestFeature]) -> bool {
        features.iter().all(|feature| self.crashes(*feature) < RESEND_LIMIT)
    }

    /// Returns the crashes of the features with at least two of them, for hosts that lack them: `max` at
    /// most, the features with the most crashes first.
    pub fn repeated(&self, max: usize) -> Vec<FeatureCrash> {
        let repeated = self.suspects.iter().filter(|(_, crashes)| crashes.len() >= RESEND_LIMIT);
        let mut repeated: Vec<_> = repeated.collect();
        repeated
            .sort_unstable_by_key(|(feature, crashes)| (MAX_CRASHES - crashes.len(), **feature));
        let crashes = repeated.into_iter().flat_map(|(feature, crashes)| {
            crashes.iter().map(|(endpoint, at)| FeatureCrash {
                feature: *feature,
                endpoint: *endpoint,
                at: *at,
            })
        });
        crashes.take(max).collect()
    }

    /// Removes what is older than its retention time.
    pub fn purge(&mut self, now: Instant) {
        let is_kept = |at: Instant, period| now.saturating_duration_since(at) <= period;
        self.sound.retain(|_, at| is_kept(*at, SOUND_PERIOD));
        self.probed.retain(|_, at| is_kept(*at, PROBE_TIMEOUT));
        let before = self.suspects.len();
        self.suspects.retain(|_, crashes| crashes.iter().any(|(_, at)| is_kept(*at, RETENTION)));
        if self.suspects.len() < before {
            self.update_refused();
        }
    }

    /// Derives the groups of refused features: the one with the most crashes, then the one with the most
    /// of the crashes that those before do not explain, and so on. Features with the same crashes cannot
    /// be told apart and form one group.
    fn update_refused(&mut self) {
        let endpoints = |crashes: &Vec<(u64, Instant)>| -> BTreeSet<u64> {
            crashes.iter().map(|(endpoint, _)| *endpoint).collect()
        };
        let mut unexplained: Vec<(RequestFeature, BTreeSet<u64>)> = self
            .suspects
            .iter()
            .filter(|(_, crashes)| crashes.len() >= REFUSE_AT)
            .map(|(feature, crashes)| (*feature, endpoints(crashes)))
            .collect();
        unexplained.sort_unstable_by_key(|(feature, _)| *feature);
        self.refused.clear();
        while let Some(worst) = unexplained.iter().map(|(_, e)| e).max_by_key(|e| e.len())
            && worst.len() >= REFUSE_AT
        {
            let explained = worst.clone();
            let group = unexplained.iter().filter(|(_, endpoints)| *endpoints == explained);
            self.refused.push(group.map(|(feature, _)| *feature).collect());
            for (_, endpoints) in &mut unexplained {
                endpoints.retain(|endpoint| !explained.contains(endpoint));
            }
        }
    }
}
