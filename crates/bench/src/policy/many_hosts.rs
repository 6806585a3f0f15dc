//! Several hosts that place generations on the same engines, each with its own policy.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use camphorloft_standins::engine_model::Load;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::simulation::{Decisions, EngineState, Placer, Request, Start};

/// Several hosts behind a load balancer that assigns each request to a random host.
pub struct ManyHosts<P>
where
    P: Placer,
{
    hosts: Vec<P>,
    host_of: HashMap<usize, usize>,
    /// True when hosts send their placements to their peers.
    shares_placements: bool,
    /// Placements that the other hosts receive at the next tick.
    peer_placements: Vec<PeerPlacement>,
    rng: Pcg64Mcg,
}

/// A placement that is sent to the other hosts.
struct PeerPlacement {
    host: usize,
    engine: usize,
    kv: u32,
}

impl<P> ManyHosts<P>
where
    P: Placer,
{
    /// Creates the group from the policies of the hosts.
    pub fn new(hosts: Vec<P>, shares_placements: bool, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Self { hosts, host_of: HashMap::new(), shares_placements, peer_placements: Vec::new(), rng }
    }

    /// Returns the index of the host of a request, drawn at random for a new request.
    fn host_ix(&mut self, request: usize) -> usize {
        let count = self.hosts.len();
        let rng = &mut self.rng;
        *self.host_of.entry(request).or_insert_with(|| rng.random_range(0..count))
    }

    fn host(&mut self, request: usize) -> &mut P {
        let ix = self.host_ix(request);
        &mut self.hosts[ix]
    }

    /// Queues placements of a host for its peers.
    fn queue_for_peers(&mut self, host: usize, starts: &[Start]) {
        if self.shares_placements {
            let each = |start: &Start| PeerPlacement { host, engine: start.engine, kv: start.kv };
            self.peer_placements.extend(starts.iter().map(each));
        }
    }
}

impl<P> Placer for ManyHosts<P>
where
    P: Placer,
{
    fn place(&mut self, request: &Request, engines: &[EngineState]) -> Vec<Start> {
        let host = self.host_ix(request.ix);
        let starts = self.hosts[host].place(request, engines);
        self.queue_for_peers(host, &starts);
        starts
    }

    fn ended(&mut self, request: &Request, engine: usize) {
        self.host(request.ix).ended(request, engine);
    }

    fn lost(&mut self, request: &Request, engine: usize) {
        self.host(request.ix).lost(request, engine);
    }

    fn migrated(&mut self, request: &Request, engine: usize) {
        self.host(request.ix).migrated(request, engine);
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
        for placement in std::mem::take(&mut self.peer_placements) {
            for (ix, host) in self.hosts.iter_mut().enumerate() {
                if ix != placement.host {
                    host.record_peer_placement(placement.engine, placement.kv);
                }
            }
        }
        for ix in 0..self.hosts.len() {
            let earlier = out.starts.len();
            self.hosts[ix].tick(out);
            self.queue_for_peers(ix, &out.starts[earlier..]);
        }
    }

    fn set_now(&mut self, now: Instant) {
        for host in &mut self.hosts {
            host.set_now(now);
        }
    }
}
