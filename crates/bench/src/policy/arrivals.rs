//! Draws the random arrivals of a workload. All policies of a comparison receive the same arrivals.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use super::workload::{ClassSpec, LogNormalLength, Workload};

/// The arrival of one generation.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of its organisation.
    pub organisation: usize,
    /// Index of its class.
    pub class: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of output tokens.
    pub output_tokens: u32,
    /// Identifier of the shared prefix; 0 for none.
    pub prefix: u64,
}

/// Draws all arrivals, in order of time.
pub fn draw_arrivals(workload: &Workload, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (class, spec) in workload.classes.iter().enumerate() {
        let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1000) + class as u64);
        draw_class(workload, class, spec, &mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_class(
    workload: &Workload,
    class: usize,
    spec: &ClassSpec,
    rng: &mut Pcg64Mcg,
    arrivals: &mut Vec<Arrival>,
) {
    let peak = workload.bursts.iter().map(|burst| burst.factor).fold(1.0, f64::max);
    let gap = Exp::new(spec.arrivals_per_second * peak).expect("the rate is positive");
    let mut at = gap.sample(rng);
    while at < workload.duration_seconds {
        // Thinning of a Poisson process: candidates are drawn at the peak rate and accepted with
        // the ratio of the current rate to the peak rate.
        if rng.random::<f64>() < rate_factor(workload, at) / peak {
            arrivals.push(draw_one(workload, class, spec, at, rng));
        }
        at += gap.sample(rng);
    }
}

fn rate_factor(workload: &Workload, at: f64) -> f64 {
    let inside = |start: f64, length: f64| at >= start && at < start + length;
    let bursts = workload.bursts.iter().filter(|b| inside(b.at_seconds, b.for_seconds));
    bursts.map(|burst| burst.factor).fold(1.0, f64::max)
}

fn draw_one(
    workload: &Workload,
    class: usize,
    spec: &ClassSpec,
    at: f64,
    rng: &mut Pcg64Mcg,
) -> Arrival {
    let shifts = workload.shifts.iter().filter(|shift| at >= shift.at_seconds);
    let factor: f64 = shifts.map(|shift| shift.output_factor).product();
    let group = if spec.prefix_groups > 0 { rng.random_range(0..spec.prefix_groups) } else { 0 };
    let prefix =
        if spec.prefix_groups > 0 { (class as u64 + 1) << 32 | u64::from(group) } else { 0 };
    let prompt = draw_length(&spec.prompt, 1.0, rng);
    Arrival {
        at: Duration::from_secs_f64(at),
        organisation: draw_organisation(workload, spec, rng),
        class,
        prompt_tokens: prompt.max(spec.prefix_tokens + 1),
        output_tokens: draw_length(draw_part(&spec.output, rng), factor, rng),
        prefix,
    }
}

fn draw_part<'a>(parts: &'a [LogNormalLength], rng: &mut Pcg64Mcg) -> &'a LogNormalLength {
    let total: f64 = parts.iter().map(|part| part.share).sum();
    let mut left = rng.random::<f64>() * total;
    for part in parts {
        left -= part.share;
        if left < 0.0 {
            return part;
        }
    }
    &parts[parts.len() - 1]
}

fn draw_length(length: &LogNormalLength, factor: f64, rng: &mut Pcg64Mcg) -> u32 {
    let mu = (length.median * factor).ln();
    let distribution = LogNormal::new(mu, length.sigma).expect("sigma is finite");
    (distribution.sample(rng) as u32).clamp(1, length.max)
}

fn draw_organisation(workload: &Workload, spec: &ClassSpec, rng: &mut Pcg64Mcg) -> usize {
    let allowed =
        |name: &String| spec.organisations.is_empty() || spec.organisations.contains(name);
    let candidates: Vec<(usize, f64)> = workload
        .organisations
        .iter()
        .enumerate()
        .filter(|(_, organisation)| allowed(&organisation.name))
        .map(|(ix, organisation)| (ix, organisation.share))
        .collect();
    let total: f64 = candidates.iter().map(|(_, share)| share).sum();
    let mut left = rng.random::<f64>() * total;
    for (ix, share) in &candidates {
        left -= share;
        if left < 0.0 {
            return *ix;
        }
    }
    candidates.last().map_or(0, |(ix, _)| *ix)
}
