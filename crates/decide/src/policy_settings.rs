//! The constants of the policy.

use std::time::Duration;

/// Weights of an objective, as configured for a route.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize)]
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

/// The constants of the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Weights of the objective.
    pub weights: ObjectiveWeights,
    /// Endpoints that are compared for one generation.
    pub candidates: usize,
    /// Probability that the chosen endpoint overflows soon, up to which a generation is admitted.
    pub admit_risk: f32,
    /// Probability that the compared endpoints overflow together at any horizon, up to which a
    /// generation is admitted.
    pub pool_risk: f32,
    /// Horizons at which an overflow of one endpoint counts as soon.
    pub local_horizons: usize,
    /// Horizons at which an overflow makes generations move.
    pub move_horizons: usize,
    /// Part of an engine's memory that is planned with.
    pub usable_memory: f32,
    /// Probability of overflow within the short horizons from which generations are moved away.
    pub move_risk: f32,
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
    /// Sequences that an engine may run.
    pub max_batch: u32,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            weights: ObjectiveWeights::default(),
            candidates: 32,
            admit_risk: 0.25,
            pool_risk: 0.1,
            local_horizons: 6,
            move_horizons: 2,
            usable_memory: 0.98,
            move_risk: 0.5,
            move_target_risk: 0.15,
            max_moves: 3,
            max_waiting: 20_000,
            max_wait: Duration::from_secs(60),
            overtake_limit: Duration::from_secs(4),
            prefill_seconds: 40e-6,
            sequence_seconds: 180e-6,
            max_batch: 96,
        }
    }
}

impl PolicySettings {
    /// Returns the settings with the thresholds that follow from the weights of an objective.
    ///
    /// A heavier weight of preemptions admits less and moves earlier; a heavier weight of stall
    /// time admits more, since a generation that waits in front of an engine stalls as well.
    pub fn for_objective(self, weights: ObjectiveWeights) -> Self {
        let total = (weights.stall + weights.preemption).max(f32::EPSILON);
        let caution = weights.preemption / total;
        Self {
            weights,
            admit_risk: self.admit_risk * 2.0 * (1.0 - caution).max(0.1),
            move_risk: (self.move_risk * 1.5 * (1.0 - caution)).clamp(0.1, 0.9),
            ..self
        }
    }
}
