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
    /// True when hosts tell each other of their placements.
    announces: bool,
    /// What the other hosts hear of at the next tick.
    announced: Vec<Announced>,
    rng: Pcg64Mcg,
}

/// A placement that other hosts hear of.
struct Announced {
    host: usize,
    engine: usize,
    kv: u32,
}

impl<P> ManyHosts<P>
where
    P: Placer,
{
    /// Builds the hosts.
    pub fn new(hosts: Vec<P>, announces: bool, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { hosts, host_of: HashMap::new(), announces, announced: Vec::new(), rng }
    }

    /// Returns the position of the host of a request, drawn when it is new.
    fn host_ix(&mut self, request: usize) -> usize {
        let count = self.hosts.len();
        let rng = &mut self.rng;
        *self.host_of.entry(request).or_insert_with(|| rng.random_range(0..count))
    }

    fn host(&mut self, request: usize) -> &mut P {
        let ix = self.host_ix(request);
        &mut self.hosts[ix]
    }

    /// Remembers placements for the other hosts.
    fn announce(&mut self, host: usize, starts: &[Start]) {
        if self.announces {
            let each = |start: &Start| Announced { host, engine: start.engine, kv: start.kv };
            self.announced.extend(starts.iter().map(each));
        }
    }
}

impl<P> Placer for ManyHosts<P>
where
    P: Placer,
{
    fn arrive(&mut self, request: &Request, engines: &[EngineState]) -> Vec<Start> {
        let host = self.host_ix(request.ix);
        let starts = self.hosts[host].arrive(request, engines);
        self.announce(host, &starts);
        starts
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
        for placement in std::mem::take(&mut self.announced) {
            for (ix, host) in self.hosts.iter_mut().enumerate() {
                if ix != placement.host {
                    host.hear_placement(placement.engine, placement.kv);
                }
            }
        }
        for ix in 0..self.hosts.len() {
            let known = out.starts.len();
            self.hosts[ix].tick(out);
            self.announce(ix, &out.starts[known..]);
        }
    }

    fn set_now(&mut self, now: Instant) {
        for host in &mut self.hosts {
            host.set_now(now);
        }
    }
}
