//! Adapter that runs the decision library as a policy of the simulation.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use camphorloft_decide::decider::{Decider, EndKind};
use camphorloft_decide::decision::{Decision, Placed, TickOutput};
use camphorloft_decide::endpoint_view::{Distance, Report};
use camphorloft_decide::lengths::{ClassKey, Lengths};
use camphorloft_decide::policy_settings::{ObjectiveWeights, PolicySettings};
use camphorloft_decide::sequence::SchedulingRequest;
use camphorloft_standins::engine_model::{EngineLimits, Load};
use camphorloft_types::prelude::*;

use super::simulation::{Decisions, EngineState, Placer, Request, Start};
use super::workload::Workload;

/// Longest output that a route allows, in tokens.
const MAX_TOKENS: u32 = 65_536;

/// A policy that delegates to the decision library.
pub struct DeciderPolicy<L>
where
    L: Lengths,
{
    decider: Decider<L>,
    capacity: Vec<u32>,
    now: Instant,
    output: TickOutput,
    requests: HashMap<GenerationId, usize>,
}

impl<L> DeciderPolicy<L>
where
    L: Lengths,
{
    /// Creates the policy for a workload.
    pub fn new(workload: &Workload, settings: PolicySettings, lengths: L, seed: u64) -> Self {
        let now = Instant::now();
        let objective = &workload.objective;
        let weights = ObjectiveWeights {
            stall: objective.stall,
            preemption: objective.preemption,
            gap: objective.gap,
        };
        let mut decider = Decider::new(settings, lengths, seed);
        let limits = workload.engine_limits();
        let capacity: Vec<u32> = limits.iter().map(|limits| limits.kv_tokens).collect();
        let add = |limits: &EngineLimits| {
            decider.add_endpoint(limits.kv_tokens, limits.max_batch, Distance::Zone)
        };
        let endpoints: Vec<EndpointIx> = limits.iter().map(add).collect();
        for class in 0..workload.classes.len() {
            decider.set_route(RouteIx::from_u32(class as u32), endpoints.clone(), weights);
        }
        for (ix, organisation) in workload.organisations.iter().enumerate() {
            let weight = Weight(organisation.weight);
            decider.set_weight(OrganisationIx::from_u32(ix as u32), weight);
        }
        Self { decider, capacity, now, output: TickOutput::default(), requests: HashMap::new() }
    }

    /// Sets the number of hosts that place on the same engines, and whether they exchange their
    /// placements.
    pub fn with_sharing_hosts(mut self, hosts: u32, shares_placements: bool) -> Self {
        self.decider.set_sharing_hosts(hosts);
        self.decider.set_receives_peer_placements(shares_placements);
        self
    }

    fn scheduling_request(&mut self, request: &Request) -> SchedulingRequest {
        let route = request.class as u64 + 1;
        let organisation_route = (route << 32) | (request.organisation as u64 + 1);
        SchedulingRequest {
            generation: GenerationId(request.ix as u128),
            organisation: OrganisationIx::from_u32(request.organisation as u32),
            route: RouteIx::from_u32(request.class as u32),
            class: self.decider.class(ClassKey { organisation_route, route }),
            oracle_length: request.output_tokens,
            prompt_tokens: request.prompt_tokens,
            delivered: request.delivered,
            max_tokens: MAX_TOKENS,
            prefix: request.prefix,
            fingerprint: request.ix as u64,
            priority: request.priority,
            avoid: request.previous_engine.map(|engine| EndpointIx::from_u32(engine as u32)),
        }
    }

    fn end(&mut self, request: &Request, end: EndKind) {
        let generation = GenerationId(request.ix as u128);
        self.decider.progress(generation, request.delivered, self.now);
        self.decider.end(generation, end, self.now);
    }
}

fn start(placed: &Placed) -> Start {
    Start {
        request: placed.generation.0 as usize,
        engine: placed.endpoint.as_u32() as usize,
        priority: placed.priority,
        kv: placed.kv,
    }
}

impl<L> Placer for DeciderPolicy<L>
where
    L: Lengths,
{
    fn place(&mut self, request: &Request, _engines: &[EngineState]) -> Vec<Start> {
        let scheduling_request = self.scheduling_request(request);
        self.requests.insert(scheduling_request.generation, request.ix);
        match self.decider.place(scheduling_request, self.now) {
            Decision::Placed(placed) => vec![start(&placed)],
            Decision::Waiting => Vec::new(),
            Decision::Refused(refused) => {
                self.output.refused.push(refused);
                Vec::new()
            }
        }
    }

    fn ended(&mut self, request: &Request, _engine: usize) {
        self.end(request, EndKind::Finished);
    }

    fn lost(&mut self, request: &Request, _engine: usize) {
        self.end(request, EndKind::Lost);
    }

    fn migrated(&mut self, request: &Request, _engine: usize) {
        self.end(request, EndKind::Migrated);
    }

    fn progress(&mut self, request: &Request) -> bool {
        self.decider.progress(GenerationId(request.ix as u128), request.delivered, self.now)
    }

    fn report(&mut self, engine: usize, load: &Load, age: Duration) {
        let report = Report {
            kv_used: load.kv_used,
            kv_tokens: self.capacity[engine],
            running: load.running,
            waiting: load.waiting,
            waiting_tokens: load.waiting_tokens,
            draining: false,
        };
        let made_at = self.now.checked_sub(age).unwrap_or(self.now);
        let endpoint = EndpointIx::from_u32(engine as u32);
        self.decider.report(endpoint, &report, made_at, self.now);
    }

    fn record_peer_placement(&mut self, engine: usize, kv: u32) {
        self.decider.record_peer_placement(EndpointIx::from_u32(engine as u32), kv, self.now);
    }

    fn tick(&mut self, out: &mut Decisions) {
        let refused = std::mem::take(&mut self.output.refused);
        out.refused.extend(refused.iter().map(|r| r.generation.0 as usize));
        self.decider.tick(self.now, &mut self.output);
        out.starts.extend(self.output.placed.iter().map(start));
        out.refused.extend(self.output.refused.drain(..).map(|r| r.generation.0 as usize));
    }

    fn set_now(&mut self, now: Instant) {
        self.now = now;
    }
}
