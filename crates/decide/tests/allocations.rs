//! Placement does not allocate once the tables have grown.

use std::time::Instant;

use camphorloft_decide::decider::{Decider, EndKind};
use camphorloft_decide::decision::Decision;
use camphorloft_decide::endpoint_view::{Distance, Report};
use camphorloft_decide::lengths::{ClassKey, LearnedLengths};
use camphorloft_decide::policy_settings::{ObjectiveWeights, PolicySettings};
use camphorloft_decide::sequence::SchedulingRequest;
use camphorloft_types::prelude::*;

#[test]
fn placing_does_not_allocate() {
    const ROUNDS: u128 = 300;
    let now = Instant::now();
    let mut decider = Decider::new(PolicySettings::default(), LearnedLengths::default(), 1);
    let route = RouteIx::from_u32(0);
    let endpoints: Vec<EndpointIx> =
        (0..600).map(|_| decider.add_endpoint(24_000, 96, Distance::Zone)).collect();
    decider.set_route(route, endpoints.clone(), ObjectiveWeights::default());
    for endpoint in endpoints {
        let report = Report { kv_tokens: 24_000, ..Report::default() };
        decider.report(endpoint, &report, now, now);
    }
    let class = decider.class(ClassKey { organisation_route: 1, route: 1 });
    let request = |generation| SchedulingRequest {
        generation: GenerationId(generation),
        organisation: OrganisationIx::from_u32(0),
        route,
        class,
        oracle_length: 0,
        prompt_tokens: 400,
        delivered: 0,
        max_tokens: 8000,
        prefix: 77,
        fingerprint: 5,
        priority: 1,
        avoid: None,
    };
    // The first round creates the entries of the organisation, the route and the retry budget.
    for generation in 0..ROUNDS {
        assert!(matches!(decider.place(request(generation), now), Decision::Placed(_)));
    }
    for generation in 0..ROUNDS {
        decider.end(GenerationId(generation), EndKind::Cancelled, now);
    }
    let counted = allocation_counter::measure(|| {
        for generation in 0..ROUNDS {
            assert!(matches!(decider.place(request(generation), now), Decision::Placed(_)));
        }
    });
    assert_eq!(counted.count_total, 0);
}
