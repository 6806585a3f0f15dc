//! Duration of one placement decision with 5,400 replicas.

use std::hint::black_box;
use std::time::{Duration, Instant};

use camphorloft_decide::decider::{Decider, EndKind};
use camphorloft_decide::decision::Decision;
use camphorloft_decide::endpoint_view::{Distance, Report};
use camphorloft_decide::lengths::{ClassKey, LearnedLengths};
use camphorloft_decide::policy_settings::{ObjectiveWeights, PolicySettings};
use camphorloft_decide::sequence::SchedulingRequest;
use camphorloft_types::prelude::*;
use criterion::{Criterion, criterion_group, criterion_main};

const REPLICAS: usize = 5400;
const RUNNING: u128 = 2750;

/// Creates a decider with all replicas and one host's share of the running generations.
fn loaded_decider(now: Instant) -> (Decider<LearnedLengths>, SchedulingRequest) {
    let mut decider = Decider::new(PolicySettings::default(), LearnedLengths::default(), 1);
    let route = RouteIx::from_u32(0);
    let endpoints: Vec<EndpointIx> =
        (0..REPLICAS).map(|_| decider.add_endpoint(24_000, 96, Distance::Zone)).collect();
    decider.set_route(route, endpoints.clone(), ObjectiveWeights::default());
    let report = Report { kv_tokens: 24_000, ..Report::default() };
    for endpoint in endpoints {
        decider.report(endpoint, &report, now, now);
    }
    let request = SchedulingRequest {
        generation: GenerationId(0),
        organisation: OrganisationIx::from_u32(0),
        route,
        class: decider.class(ClassKey { organisation_route: 1, route: 1 }),
        oracle_length: 0,
        prompt_tokens: 400,
        delivered: 0,
        max_tokens: 8000,
        prefix: 77,
        fingerprint: 5,
        priority: 1,
        avoid: None,
    };
    for generation in 1..=RUNNING {
        let _ = decider
            .place(SchedulingRequest { generation: GenerationId(generation), ..request }, now);
    }
    (decider, request)
}

fn place_and_end(
    decider: &mut Decider<LearnedLengths>,
    request: SchedulingRequest,
    now: Instant,
) -> bool {
    let decision = decider.place(black_box(request), now);
    decider.end(request.generation, EndKind::Cancelled, now);
    matches!(decision, Decision::Placed(_))
}

fn decision(c: &mut Criterion) {
    let now = Instant::now();
    let (mut decider, request) = loaded_decider(now);
    c.bench_function("place at 5400 replicas", |b| {
        b.iter(|| assert!(place_and_end(&mut decider, request, now)));
    });
    print_percentiles(&mut decider, request, now);
}

/// Prints percentiles of the duration, which criterion does not report.
fn print_percentiles(
    decider: &mut Decider<LearnedLengths>,
    request: SchedulingRequest,
    now: Instant,
) {
    const SAMPLES: usize = 100_000;
    let mut times: Vec<Duration> = Vec::with_capacity(SAMPLES);
    for _ in 0..SAMPLES {
        let started = Instant::now();
        let decision = decider.place(black_box(request), now);
        times.push(started.elapsed());
        black_box(decision);
        decider.end(request.generation, EndKind::Cancelled, now);
    }
    times.sort_unstable();
    let at = |quantile: f64| times[(SAMPLES as f64 * quantile) as usize];
    println!("place alone: p50 {:?}, p99 {:?}, p99.9 {:?}", at(0.50), at(0.99), at(0.999));
}

criterion_group!(benches, decision);
criterion_main!(benches);
