//! Several hosts that place on the same engines, each with its own policy.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use camphorloft_standins::engine_model::Load;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::simulation::{Decisions, EngineState, Placer, Request, Start};

/// Several hosts. A balancer in front spreads the requests at random.
pub struct ManyHosts<P>
where
    P: Placer,
{
    hosts: Vec<P>,
    host_of: HashMap<usize, usize>,
    rng: Pcg64Mcg,
}

impl<P> ManyHosts<P>
where
    P: Placer,
{
    /// Builds the hosts.
    pub fn new(hosts: Vec<P>, seed: u64) -> Self {
        Self { hosts, host_of: HashMap::new(), rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Returns the host of a request, drawn when it is new.
    fn host(&mut self, request: usize) -> &mut P {
        let count = self.hosts.len();
        let rng = &mut self.rng;
        let ix = *self.host_of.entry(request).or_insert_with(|| rng.random_range(0..count));
        &mut self.hosts[ix]
    }
}

impl<P> Placer for ManyHosts<P>
where
    P: Placer,
{
    fn arrive(&mut self, request: &Request, engines: &[EngineState]) -> Vec<Start> {
        self.host(request.ix).arrive(request, engines)
    }

    fn ended(&mut self, request: &Request, engine: usize) {
        self.host(request.ix).ended(request, engine);
    }

    fn lost(&mut self, request: &Request, engine: usize) {
        self.host(request.ix).lost(request, engine);
    }

    fn moved(&mut self, request: &Request, engine: usize) {
        self.host(request.ix).moved(request, engine);
    }

    fn progress(&mut self, request: &Request) -> bool {
        self.host(request.ix).progress(request)
    }

    fn report(&mut self, engine: usize, load: &Load, age: Duration) {
        for host in &mut self.hosts {
            host.report(engine, load, age);
        }
    }

    fn tick(&mut self, out: &mut Decisions) {
        for host in &mut self.hosts {
            host.tick(out);
        }
    }

    fn set_now(&mut self, now: Instant) {
        for host in &mut self.hosts {
            host.set_now(now);
        }
    }
}
