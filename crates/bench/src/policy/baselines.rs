//! Common placement policies, which users would otherwise use, to compare with the decision library.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::simulation::{EngineState, Placer, Request, Start};

/// How a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The next engine in turn.
    RoundRobin,
    /// The engine with the fewest outstanding generations.
    LeastOutstanding,
    /// Of two random engines, the one with fewer outstanding generations.
    TwoChoices,
    /// The engine with the least KV use in its last report.
    LeastReportedKv,
}

/// A baseline policy. It starts each generation on arrival and never queues or migrates one.
pub struct Baseline {
    rule: Rule,
    outstanding: Vec<u32>,
    turn: usize,
    rng: Pcg64Mcg,
}

impl Baseline {
    /// Builds a baseline.
    pub fn new(rule: Rule, engines: usize, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { rule, outstanding: vec![0; engines], turn: 0, rng }
    }

    fn choose(&mut self, engines: &[EngineState]) -> usize {
        let up: Vec<usize> = (0..engines.len()).filter(|ix| engines[*ix].up).collect();
        match self.rule {
            Rule::RoundRobin => {
                self.turn += 1;
                up[self.turn % up.len()]
            }
            Rule::LeastOutstanding => self.least(&up, |this, ix| this.outstanding[ix]),
            Rule::TwoChoices => {
                let pair = [
                    up[self.rng.random_range(0..up.len())],
                    up[self.rng.random_range(0..up.len())],
                ];
                self.least(&pair, |this, ix| this.outstanding[ix])
            }
            Rule::LeastReportedKv => self.least(&up, |_, ix| engines[ix].reported.kv_used),
        }
    }

    /// Returns the engine with the smallest key. Ties are broken by rotation, so that no engine is
    /// preferred.
    fn least<Key>(&mut self, candidates: &[usize], key: Key) -> usize
    where
        Key: Fn(&Self, usize) -> u32,
    {
        self.turn += 1;
        let count = candidates.len();
        let rotated = (0..count).map(|ix| candidates[(ix + self.turn) % count]);
        let best = rotated.min_by_key(|ix| key(self, *ix));
        best.unwrap_or(candidates[0])
    }
}

impl Placer for Baseline {
    fn place(&mut self, request: &Request, engines: &[EngineState]) -> Vec<Start> {
        let engine = self.choose(engines);
        self.outstanding[engine] += 1;
        vec![Start {
            request: request.ix,
            engine,
            priority: i32::from(request.priority),
            kv: request.prompt_tokens + request.delivered,
        }]
    }

    fn ended(&mut self, _request: &Request, engine: usize) {
        self.outstanding[engine] -= 1;
    }
}
