//! Parameters of the scheduling policy.

use std::time::Duration;

/// Weights of an objective, as configured for a route.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveWeights {
    /// Weight of stall time.
    pub stall: f32,
    /// Weight of preemptions.
    pub preemption: f32,
    /// Weight of tail latency between tokens.
    pub gap: f32,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self { stall: 1.0, preemption: 1.0, gap: 1.0 }
    }
}

/// Overflow probabilities at which the policy acts.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Thresholds {
    /// Near-term overflow probability of the chosen endpoint up to which a generation is admitted.
    pub admit_risk: f32,
    /// Probability that the total memory of the compared endpoints overflows at any horizon, up to
    /// which a generation is admitted.
    pub pool_risk: f32,
    /// Overflow probability within the migration horizons from which generations are migrated away.
    pub move_risk: f32,
}

impl Thresholds {
    /// Interpolates linearly to `other`; `share` is 0 for `self` and 1 for `other`.
    pub fn interpolate(&self, other: &Self, share: f32) -> Self {
        let between = |from: f32, to: f32| from + (to - from) * share;
        Self {
            admit_risk: between(self.admit_risk, other.admit_risk),
            pool_risk: between(self.pool_risk, other.pool_risk),
            move_risk: between(self.move_risk, other.move_risk),
        }
    }
}

/// Parameters of the scheduling policy.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Number of endpoints compared for one generation.
    pub candidates: usize,
    /// Thresholds of an objective that only weighs stall time.
    pub stall_thresholds: Thresholds,
    /// Thresholds of an objective that only weighs preemptions.
    pub preemption_thresholds: Thresholds,
    /// Number of first horizons that count as near term for the overflow of one endpoint.
    pub local_horizons: usize,
    /// Number of first horizons at which a likely overflow triggers migrations.
    pub move_horizons: usize,
    /// Fraction of an engine's memory available to the planner.
    pub usable_memory: f32,
    /// Overflow probability of a destination up to which a generation is migrated there.
    pub move_target_risk: f32,
    /// Number of interruptions from which a generation is no longer migrated.
    pub max_moves: u8,
    /// Largest number of queued generations.
    pub max_waiting: usize,
    /// Expected waiting time above which a new generation is refused or others are shed.
    pub max_wait: Duration,
    /// Waiting time after which a generation is only overtaken by very short ones.
    pub overtake_limit: Duration,
    /// Prefill duration per token, in seconds.
    pub prefill_seconds: f32,
    /// Duration that each running sequence adds to a step, in seconds.
    pub sequence_seconds: f32,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            candidates: 28,
            stall_thresholds: Thresholds { admit_risk: 0.22, pool_risk: 0.7, move_risk: 0.6 },
            preemption_thresholds: Thresholds { admit_risk: 0.1, pool_risk: 0.7, move_risk: 0.5 },
            local_horizons: 5,
            move_horizons: 2,
            usable_memory: 0.98,
            move_target_risk: 0.1,
            max_moves: 6,
            max_waiting: 20_000,
            max_wait: Duration::from_secs(60),
            overtake_limit: Duration::from_secs(16),
            prefill_seconds: 40e-6,
            sequence_seconds: 180e-6,
        }
    }
}

impl PolicySettings {
    /// Returns the thresholds of an objective.
    ///
    /// A larger weight of preemptions lowers the admission thresholds. A larger weight of stall
    /// time raises them, since waiting in the queue delays a generation as well.
    ///
    /// ```
    /// use camphorloft_decide::policy_settings::{ObjectiveWeights, PolicySettings};
    /// let settings = PolicySettings::default();
    /// let weights = ObjectiveWeights { stall: 1.0, preemption: 0.0, gap: 1.0 };
    /// assert_eq!(settings.thresholds(&weights), settings.stall_thresholds);
    /// ```
    pub fn thresholds(&self, weights: &ObjectiveWeights) -> Thresholds {
        let total = (weights.stall + weights.preemption).max(f32::EPSILON);
        let caution = weights.preemption / total;
        self.stall_thresholds.interpolate(&self.preemption_thresholds, caution)
    }
}
