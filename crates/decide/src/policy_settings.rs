//! The constants of the policy.

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

/// Probabilities of overflow at which the policy acts.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Thresholds {
    /// Probability that the chosen endpoint overflows soon, up to which a generation is admitted.
    pub admit_risk: f32,
    /// Probability that the compared endpoints overflow together at any horizon, up to which a
    /// generation is admitted.
    pub pool_risk: f32,
    /// Probability of overflow within the move horizons from which generations are moved away.
    pub move_risk: f32,
}

impl Thresholds {
    /// Returns the thresholds that lie at a part `share` of the way to `other`.
    pub fn towards(&self, other: &Self, share: f32) -> Self {
        let between = |from: f32, to: f32| from + (to - from) * share;
        Self {
            admit_risk: between(self.admit_risk, other.admit_risk),
            pool_risk: between(self.pool_risk, other.pool_risk),
            move_risk: between(self.move_risk, other.move_risk),
        }
    }
}

/// The constants of the policy.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Endpoints that are compared for one generation.
    pub candidates: usize,
    /// Thresholds when only stall time has a weight.
    pub stall_thresholds: Thresholds,
    /// Thresholds when only preemptions have a weight.
    pub preemption_thresholds: Thresholds,
    /// Horizons at which an overflow of one endpoint counts as soon.
    pub local_horizons: usize,
    /// Horizons at which an overflow makes generations move.
    pub move_horizons: usize,
    /// Part of an engine's memory that is planned with.
    pub usable_memory: f32,
    /// Probability of overflow of a destination up to which a generation is moved there.
    pub move_target_risk: f32,
    /// Times that a generation may be moved.
    pub max_moves: u8,
    /// Generations that may wait.
    pub max_waiting: usize,
    /// Time that a generation may wait for its first place.
    pub max_wait: Duration,
    /// Time after which a waiting generation is no longer overtaken by shorter ones.
    pub overtake_limit: Duration,
    /// Time of a prefill token, in seconds.
    pub prefill_seconds: f32,
    /// Time that a running sequence adds to a step, in seconds.
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
    /// A heavier weight of preemptions admits less; a heavier weight of stall time admits more,
    /// since a generation that waits in front of an engine is late as well.
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
        self.stall_thresholds.towards(&self.preemption_thresholds, caution)
    }
}
