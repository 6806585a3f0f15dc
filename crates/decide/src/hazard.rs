//! Online estimate of the distribution of output lengths.
//!
//! Lengths fall into [`BUCKETS`] buckets of geometrically growing width. For each bucket the table
//! counts the generations that entered it and those that ended in it. The ratio is the hazard of
//! the bucket, and the product of the complements is the survival function. Running generations
//! count in the buckets they have entered, so the estimate has no censoring bias against long
//! generations. Both counts decay, so that the estimate follows shifts in the workload.

/// Number of buckets: four of width 4, then four per doubling of the length.
pub const BUCKETS: usize = 60;
/// Lengths below this limit fall into buckets of width [`LINEAR_WIDTH`].
const LINEAR_LIMIT: u32 = 16;
const LINEAR_WIDTH: u32 = 4;
const LINEAR_BUCKETS: usize = 4;
/// Count of entries above which both counts of a bucket are halved.
const MAX_BUCKET_COUNT: f32 = 400.0;

/// Returns the bucket of a length, in tokens.
pub fn bucket_of(length: u32) -> usize {
    if length < LINEAR_LIMIT {
        return (length / LINEAR_WIDTH) as usize;
    }
    let octave = 31 - length.leading_zeros();
    let quarter = (length >> (octave - 2)) & 3;
    let bucket = LINEAR_BUCKETS + ((octave - 4) * 4 + quarter) as usize;
    bucket.min(BUCKETS - 1)
}

/// Returns the smallest length of a bucket, in tokens.
pub fn bucket_start(bucket: usize) -> u32 {
    if bucket < LINEAR_BUCKETS {
        return bucket as u32 * LINEAR_WIDTH;
    }
    let octave = 4 + (bucket - LINEAR_BUCKETS) as u32 / 4;
    let quarter = (bucket - LINEAR_BUCKETS) as u32 % 4;
    (4 + quarter) << (octave - 2)
}

/// Counts of generations that entered and ended, per bucket.
#[derive(Clone, Debug)]
pub struct HazardTable {
    entered: [f32; BUCKETS],
    ended: [f32; BUCKETS],
}

impl Default for HazardTable {
    fn default() -> Self {
        Self { entered: [0.0; BUCKETS], ended: [0.0; BUCKETS] }
    }
}

impl HazardTable {
    /// Records that a generation progressed from `from` to `to` tokens.
    pub fn advance(&mut self, from: u32, to: u32) {
        let first = if from == 0 { 0 } else { bucket_of(from) + 1 };
        for bucket in first..=bucket_of(to) {
            self.entered[bucket] += 1.0;
            if self.entered[bucket] > MAX_BUCKET_COUNT {
                self.entered[bucket] /= 2.0;
                self.ended[bucket] /= 2.0;
            }
        }
    }

    /// Records that a generation ended at `length` tokens. [`HazardTable::advance`] must have
    /// recorded that it reached this length.
    pub fn end(&mut self, length: u32) {
        self.ended[bucket_of(length)] += 1.0;
    }

    /// Returns the decayed number of generations that entered the first bucket.
    pub fn samples(&self) -> f32 {
        self.entered[0]
    }

    /// Returns the hazard of a bucket, shrunk towards `prior` with the weight of `weight` samples.
    fn hazard(&self, bucket: usize, prior: f32, weight: f32) -> f32 {
        let entered = self.entered[bucket] + weight;
        ((self.ended[bucket] + weight * prior) / entered).clamp(0.0, 1.0)
    }
}

/// Survival function of output lengths, tabulated at the bucket starts.
#[derive(Clone, Debug)]
pub struct Survival {
    /// `at[b]` is the probability that a length reaches the start of bucket `b`.
    at: [f32; BUCKETS + 1],
    hazards: [f32; BUCKETS],
}

/// Weight of the coarser distribution as a prior, in samples per bucket.
const PRIOR_WEIGHT: f32 = 6.0;
/// Hazard of each bucket without any samples. Gives a heavy tail with a median of a few hundred
/// tokens.
const UNKNOWN_HAZARD: f32 = 0.15;
/// Least survival probability used as a divisor.
const MIN_SURVIVAL: f32 = 1e-6;

impl Survival {
    /// Returns the distribution assumed without any samples.
    pub fn unknown() -> Self {
        Self::from_hazards([UNKNOWN_HAZARD; BUCKETS])
    }

    /// Estimates the distribution of a table, shrunk towards `coarser` where samples are few.
    pub fn estimate(table: &HazardTable, coarser: &Survival) -> Self {
        let mut hazards = [0.0; BUCKETS];
        for (bucket, hazard) in hazards.iter_mut().enumerate() {
            *hazard = table.hazard(bucket, coarser.hazards[bucket], PRIOR_WEIGHT);
        }
        Self::from_hazards(hazards)
    }

    fn from_hazards(hazards: [f32; BUCKETS]) -> Self {
        let mut at = [1.0; BUCKETS + 1];
        for bucket in 0..BUCKETS {
            at[bucket + 1] = at[bucket] * (1.0 - hazards[bucket]);
        }
        Self { at, hazards }
    }

    /// Returns the probability that a generation reaches `length` tokens.
    pub fn reach_probability(&self, length: u32) -> f32 {
        let bucket = bucket_of(length);
        let start = bucket_start(bucket);
        let width = (bucket_start(bucket + 1) - start) as f32;
        let within = ((length - start) as f32 / width).min(1.0);
        self.at[bucket] + (self.at[bucket + 1] - self.at[bucket]) * within
    }

    /// Returns the probability that a generation that has reached `from` tokens reaches `to`.
    ///
    /// ```
    /// use camphorloft_decide::hazard::{HazardTable, Survival};
    /// let mut table = HazardTable::default();
    /// for _ in 0..200 {
    ///     table.advance(0, 20);
    ///     table.end(20);
    /// }
    /// let survival = Survival::estimate(&table, &Survival::unknown());
    /// assert!(survival.continuation_probability(0, 16) > 0.9);
    /// assert!(survival.continuation_probability(0, 200) < 0.1);
    /// ```
    pub fn continuation_probability(&self, from: u32, to: u32) -> f32 {
        let base = self.reach_probability(from).max(MIN_SURVIVAL);
        (self.reach_probability(to) / base).clamp(0.0, 1.0)
    }

    /// Returns the given quantile of the lengths of generations that have reached `from` tokens.
    pub fn quantile(&self, from: u32, quantile: f32) -> u32 {
        let target = self.reach_probability(from).max(MIN_SURVIVAL) * (1.0 - quantile);
        let bucket = (0..BUCKETS).find(|b| self.at[b + 1] <= target).unwrap_or(BUCKETS - 1);
        let start = bucket_start(bucket);
        let width = (bucket_start(bucket + 1) - start) as f32;
        let fall = (self.at[bucket] - self.at[bucket + 1]).max(MIN_SURVIVAL);
        let within = ((self.at[bucket] - target) / fall).clamp(0.0, 1.0);
        (start + (width * within) as u32).max(from)
    }

    /// Returns the expected number of further tokens of a generation that has reached `from`
    /// tokens.
    pub fn mean_residual(&self, from: u32) -> f32 {
        let base = self.reach_probability(from).max(MIN_SURVIVAL);
        let first = bucket_of(from);
        let mut total = 0.0;
        for bucket in first..BUCKETS {
            let start = bucket_start(bucket).max(from);
            let width = (bucket_start(bucket + 1) - start) as f32;
            total += width * (self.reach_probability(start) + self.at[bucket + 1]) / 2.0;
        }
        total / base
    }
}
