//! Behaviour of the decider under overload, endpoint failures and poison requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use camphorloft_decide::decider::{Decider, EndKind};
use camphorloft_decide::decision::{Decision, RefuseReason, TickOutput};
use camphorloft_decide::endpoint_view::{Distance, Report};
use camphorloft_decide::lengths::{ClassKey, LearnedLengths, Lengths};
use camphorloft_decide::policy_settings::{ObjectiveWeights, PolicySettings};
use camphorloft_decide::sequence::SchedulingRequest;
use camphorloft_types::prelude::*;
use proptest::prelude::*;

const CAPACITY: u32 = 10_000;

/// A decider with empty endpoints and a simulated clock.
struct Fixture {
    decider: Decider<LearnedLengths>,
    now: Instant,
    endpoints: Vec<EndpointIx>,
    next: u128,
}

impl Fixture {
    fn new(endpoints: usize, settings: PolicySettings) -> Self {
        let now = Instant::now();
        let mut decider = Decider::new(settings, LearnedLengths::default(), 7);
        let endpoints: Vec<EndpointIx> =
            (0..endpoints).map(|_| decider.add_endpoint(CAPACITY, 96, Distance::Zone)).collect();
        decider.set_route(RouteIx::from_u32(0), endpoints.clone(), ObjectiveWeights::default());
        let mut fixture = Self { decider, now, endpoints, next: 0 };
        fixture.report_all();
        fixture
    }

    fn report_all(&mut self) {
        for endpoint in self.endpoints.clone() {
            let report = Report { kv_tokens: CAPACITY, ..Report::default() };
            self.decider.report(endpoint, &report, self.now, self.now);
        }
    }

    fn request(&mut self, organisation: u32, fingerprint: u64) -> SchedulingRequest {
        self.next += 1;
        let class =
            self.decider.class(ClassKey { organisation_route: u64::from(organisation), route: 1 });
        SchedulingRequest {
            generation: GenerationId(self.next),
            organisation: OrganisationIx::from_u32(organisation),
            route: RouteIx::from_u32(0),
            class,
            oracle_length: 0,
            prompt_tokens: 500,
            delivered: 0,
            max_tokens: 4000,
            prefix: 0,
            fingerprint,
            priority: 1,
            avoid: None,
        }
    }

    fn advance_and_tick(&mut self, time: Duration) -> TickOutput {
        self.now += time;
        self.report_all();
        let mut out = TickOutput::default();
        self.decider.tick(self.now, &mut out);
        out
    }
}

#[test]
fn a_draining_endpoint_gets_no_new_work() {
    let mut fixture = Fixture::new(2, PolicySettings::default());
    let (first, second) = (fixture.endpoints[0], fixture.endpoints[1]);
    fixture.decider.endpoint_mut(first).listed_draining = true;
    for ix in 0..10 {
        let request = fixture.request(0, ix);
        match fixture.decider.place(request, fixture.now) {
            Decision::Placed(placed) => assert_eq!(placed.endpoint, second),
            Decision::Waiting => {}
            Decision::Refused(refused) => panic!("{refused:?}"),
        }
    }
}

#[test]
fn stale_reports_prevent_placement_after_a_pause() {
    let mut fixture = Fixture::new(2, PolicySettings::default());
    fixture.now += Duration::from_secs(10);
    let request = fixture.request(0, 1);
    assert_eq!(fixture.decider.place(request, fixture.now), Decision::Waiting);
    let out = fixture.advance_and_tick(Duration::from_millis(20));
    assert_eq!(out.placed.len(), 1);
}

#[test]
fn a_full_pool_queues_new_work_and_serves_it_later() {
    let settings =
        PolicySettings { max_wait: Duration::from_secs(100_000), ..PolicySettings::default() };
    let mut fixture = Fixture::new(2, settings);
    let mut placed = Vec::new();
    let mut waiting = 0;
    for ix in 0..200 {
        let request = fixture.request(0, ix);
        match fixture.decider.place(request, fixture.now) {
            Decision::Placed(p) => placed.push(p.generation),
            Decision::Waiting => waiting += 1,
            Decision::Refused(refused) => panic!("{refused:?}"),
        }
    }
    assert!(waiting > 100, "{waiting} queued");
    assert!(placed.len() * 500 <= 2 * CAPACITY as usize);
    for generation in placed {
        fixture.decider.progress(generation, 20, fixture.now);
        fixture.decider.end(generation, EndKind::Finished, fixture.now);
    }
    let out = fixture.advance_and_tick(Duration::from_millis(20));
    assert!(!out.placed.is_empty());
}

#[test]
fn overload_sheds_from_the_organisation_with_most_queued_tokens() {
    let settings = PolicySettings { max_waiting: 50, ..PolicySettings::default() };
    let mut fixture = Fixture::new(1, settings);
    let mut owners = BTreeMap::new();
    let mut refused: BTreeMap<u32, u32> = BTreeMap::new();
    for ix in 0..400 {
        // Organisation 0 sends 19 of every 20 requests.
        let organisation = u32::from(ix % 20 == 0);
        let request = fixture.request(organisation, ix);
        owners.insert(request.generation, organisation);
        if let Decision::Refused(_) = fixture.decider.place(request, fixture.now) {
            *refused.entry(organisation).or_default() += 1;
        }
        for shed in fixture.advance_and_tick(Duration::from_millis(1)).refused {
            *refused.entry(owners[&shed.generation]).or_default() += 1;
        }
    }
    assert!(refused[&0] > 100);
    assert_eq!(refused.get(&1), None, "requests of organisation 1 were refused: {refused:?}");
}

#[test]
fn queued_organisations_are_served_by_weight() {
    let settings =
        PolicySettings { max_wait: Duration::from_secs(100_000), ..PolicySettings::default() };
    let mut fixture = Fixture::new(1, settings);
    fixture.decider.set_weight(OrganisationIx::from_u32(0), Weight(3));
    fixture.decider.set_weight(OrganisationIx::from_u32(1), Weight(1));
    let mut owners = BTreeMap::new();
    let mut running = Vec::new();
    for ix in 0..400 {
        let request = fixture.request((ix % 2) as u32, ix);
        owners.insert(request.generation, request.organisation.as_u32());
        if let Decision::Placed(placed) = fixture.decider.place(request, fixture.now) {
            running.push(placed.generation);
        }
    }
    let mut served = [0_u32; 2];
    for _ in 0..1000 {
        if served.iter().sum::<u32>() >= 120 {
            break;
        }
        for generation in running.drain(..) {
            fixture.decider.progress(generation, 20, fixture.now);
            fixture.decider.end(generation, EndKind::Finished, fixture.now);
        }
        for placed in fixture.advance_and_tick(Duration::from_millis(20)).placed {
            served[owners[&placed.generation] as usize] += 1;
            running.push(placed.generation);
        }
    }
    assert!(served.iter().sum::<u32>() >= 120, "{served:?}");
    let share = f64::from(served[0]) / f64::from(served[0] + served[1]);
    assert!((0.65..0.85).contains(&share), "share of the organisation with weight 3 of 4: {share}");
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut fixture = Fixture::new(4, PolicySettings::default());
    let mut retries = 0;
    for ix in 0..1000 {
        let request = fixture.request(0, ix);
        let _ = fixture.decider.place(request, fixture.now);
        fixture.decider.end(request.generation, EndKind::Cancelled, fixture.now);
        while fixture.decider.try_withdraw_retry(&request) {
            retries += 1;
        }
    }
    assert!(retries <= 210, "{retries} retries for 1000 requests");
}

#[test]
fn length_estimates_are_calibrated() {
    let mut lengths = LearnedLengths::default();
    let class = lengths.class(ClassKey { organisation_route: 1, route: 1 });
    let mut draws = (0_u64..).map(|n| {
        // A heavy-tailed mixture, from a fixed pseudo-random sequence.
        let u = (n.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 11) as f64 / (1_u64 << 53) as f64;
        let scale = if n % 4 == 0 { 1500.0 } else { 400.0 };
        (scale * (1.0 / (1.0 - u)).powf(0.4)) as u32 + 1
    });
    for length in draws.by_ref().take(2000) {
        lengths.advance(class, 0, length);
        lengths.end(class, length);
    }
    for quantile in [0.5_f32, 0.9, 0.99] {
        let bound = lengths.quantile(class, 0, 0, quantile);
        let covered = draws.by_ref().take(4000).filter(|length| *length <= bound).count();
        let share = covered as f32 / 4000.0;
        assert!(
            (share - quantile).abs() < 0.06,
            "the {quantile} quantile covers a share of {share}"
        );
    }
}

proptest! {
    /// Crashes of a poison request do not lead to the refusal of requests that ran on the same
    /// endpoints.
    #[test]
    fn only_the_poison_request_is_refused(
        arrivals in proptest::collection::vec((0_u64..12, any::<bool>()), 1..120),
    ) {
        const POISON: u64 = 99;
        let mut fixture = Fixture::new(6, PolicySettings::default());
        let mut running: BTreeMap<EndpointIx, BTreeSet<(GenerationId, u64)>> = BTreeMap::new();
        let mut crashes = 0;
        for (fingerprint, poison) in arrivals {
            let request = fixture.request(0, if poison { POISON } else { fingerprint });
            fixture.advance_and_tick(Duration::from_secs(3));
            match fixture.decider.place(request, fixture.now) {
                Decision::Placed(placed) => {
                    running
                        .entry(placed.endpoint)
                        .or_default()
                        .insert((request.generation, request.fingerprint));
                    if poison {
                        crashes += 1;
                        for (generation, _) in running.remove(&placed.endpoint).unwrap_or_default() {
                            fixture.decider.end(generation, EndKind::Lost, fixture.now);
                        }
                    }
                }
                Decision::Waiting => {
                    fixture.decider.end(request.generation, EndKind::Cancelled, fixture.now);
                }
                Decision::Refused(refused) => {
                    let harmless = request.fingerprint != POISON;
                    prop_assert!(!(harmless && refused.reason == RefuseReason::Poison));
                }
            }
        }
        prop_assert!(crashes <= 3, "{crashes} crashes by one request");
    }

    /// Under any sequence of operations the forecasts stay finite and the count of running
    /// generations is right.
    #[test]
    fn forecasts_stay_finite_and_counts_agree(
        steps in proptest::collection::vec((0_u8..5, 0_u32..3, 0_u32..500), 1..200),
    ) {
        let mut fixture = Fixture::new(3, PolicySettings::default());
        let mut alive: Vec<(GenerationId, u32)> = Vec::new();
        for (action, organisation, tokens) in steps {
            match action {
                0 | 1 => {
                    let request = fixture.request(organisation, u64::from(tokens));
                    if let Decision::Placed(_) = fixture.decider.place(request, fixture.now) {
                        alive.push((request.generation, 0));
                    }
                }
                2 => {
                    if let Some((generation, done)) = alive.last_mut() {
                        *done += tokens;
                        fixture.decider.progress(*generation, *done, fixture.now);
                    }
                }
                3 => {
                    if let Some((generation, _)) = alive.pop() {
                        fixture.decider.end(generation, EndKind::Finished, fixture.now);
                    }
                }
                _ => {
                    let out = fixture.advance_and_tick(Duration::from_millis(u64::from(tokens)));
                    alive.extend(out.placed.iter().map(|placed| (placed.generation, 0)));
                }
            }
            prop_assert_eq!(fixture.decider.running(), alive.len());
            for endpoint in &fixture.endpoints {
                let view = fixture.decider.endpoint(*endpoint);
                prop_assert!(view.forecast.mean.iter().all(|mean| mean.is_finite() && *mean >= 0.0));
            }
        }
    }
}
