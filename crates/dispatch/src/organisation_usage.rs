//! How much of the admitted work each organisation had recently.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

/// Half-life of the weight of admitted work: bursts last 4 to 7 s.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Fraction of the work of a fair share beyond which an organisation has used more than its share.
const TOLERANCE: f64 = 1.25;
/// Weight below which an organisation is forgotten, in tokens.
const MIN_TOKENS: f64 = 10.0;

/// How much of the admitted work each organisation had recently, in tokens. All organisations have the
/// same weight, since configurations state none.
#[derive(Clone, Debug, Default)]
pub struct OrganisationUsage {
    tokens: BTreeMap<Option<OrganisationName>, f64>,
    as_of: Option<Instant>,
}

impl OrganisationUsage {
    /// Records admitted work.
    pub fn record(&mut self, organisation: Option<&OrganisationName>, tokens: u64, now: Instant) {
        self.decay(now);
        *self.tokens.entry(organisation.cloned()).or_default() += tokens as f64;
    }

    /// Returns true if an organisation had more than its share.
    ///
    /// ```
    /// use std::time::Instant;
    /// use camphorloft_dispatch::organisation_usage::OrganisationUsage;
    /// let (noisy, quiet) = ("noisy".parse().unwrap(), "quiet".parse().unwrap());
    /// let (mut usage, now) = (OrganisationUsage::default(), Instant::now());
    /// usage.record(Some(&noisy), 9_000, now);
    /// assert!(!usage.exceeds_share(Some(&noisy)), "no other organisation is active");
    /// usage.record(Some(&quiet), 1_000, now);
    /// assert!(usage.exceeds_share(Some(&noisy)) && !usage.exceeds_share(Some(&quiet)));
    /// ```
    pub fn exceeds_share(&self, organisation: Option<&OrganisationName>) -> bool {
        let own = self.tokens.get(&organisation.cloned()).copied().unwrap_or_default();
        let total = self.tokens.values().sum::<f64>();
        let active = self.tokens.len();
        active > 1 && own > total / active as f64 * TOLERANCE
    }

    fn decay(&mut self, now: Instant) {
        let age = self.as_of.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.tokens.retain(|_, tokens| {
            *tokens *= factor;
            *tokens >= MIN_TOKENS
        });
        self.as_of = Some(now);
    }
}
