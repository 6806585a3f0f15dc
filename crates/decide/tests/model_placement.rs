//! Model placement follows demand without flapping and limits concurrent loads.

use std::time::{Duration, Instant};

use camphorloft_decide::model_placement::{ModelPlanner, ModelSwitch, Replica};
use camphorloft_types::prelude::*;

fn model(name: &str) -> ModelName {
    name.parse().unwrap()
}

fn replicas(loaded: &[&str]) -> Vec<Replica> {
    let replica = |(ix, name): (usize, &&str)| Replica {
        endpoint: EndpointIx::from_u32(ix as u32),
        allowed: vec![model("a"), model("b")],
        loaded: vec![model(name)],
        max_models: 1,
        running: 0,
    };
    loaded.iter().enumerate().map(replica).collect()
}

/// Runs the planner for some seconds at a constant demand per second and applies its switches.
/// Returns the number of switches and the largest number planned at once.
fn run(
    planner: &mut ModelPlanner,
    replicas: &mut [Replica],
    now: &mut Instant,
    seconds: u64,
    demand: [u32; 2],
) -> (usize, usize) {
    let (mut total, mut most) = (0, 0);
    for _ in 0..seconds {
        *now += Duration::from_secs(1);
        planner.record_demand(&model("a"), demand[0], *now);
        planner.record_demand(&model("b"), demand[1], *now);
        let switches = planner.plan(replicas, *now);
        most = most.max(switches.len());
        total += switches.len();
        for ModelSwitch { endpoint, unload, load } in switches {
            let replica = replicas.iter_mut().find(|r| r.endpoint == endpoint).unwrap();
            replica.loaded.retain(|loaded| Some(loaded) != unload.as_ref());
            replica.loaded.push(load);
            assert!(replica.loaded.len() <= replica.max_models);
        }
    }
    (total, most)
}

fn count(replicas: &[Replica], name: &str) -> usize {
    replicas.iter().filter(|replica| replica.loaded.contains(&model(name))).count()
}

#[test]
fn replicas_follow_demand_and_every_model_keeps_one() {
    let mut now = Instant::now();
    let mut planner = ModelPlanner::new(now);
    let mut replicas = replicas(&["a", "a", "a", "a", "b", "b", "b", "b"]);
    let (_, most) = run(&mut planner, &mut replicas, &mut now, 600, [100, 900]);
    assert!(most <= 2);
    assert!(count(&replicas, "b") >= 6, "{}", count(&replicas, "b"));
    run(&mut planner, &mut replicas, &mut now, 600, [0, 900]);
    assert!(count(&replicas, "a") >= 1);
}

#[test]
fn small_demand_fluctuations_cause_no_switches() {
    let mut now = Instant::now();
    let mut planner = ModelPlanner::new(now);
    let mut replicas = replicas(&["a", "a", "a", "a", "b", "b", "b", "b"]);
    let mut switches = 0;
    for round in 0..60 {
        let demand = if round % 2 == 0 { [540, 460] } else { [460, 540] };
        switches += run(&mut planner, &mut replicas, &mut now, 10, demand).0;
    }
    assert_eq!(switches, 0);
}

#[test]
fn a_reclaimed_replica_is_replaced() {
    let mut now = Instant::now();
    let mut planner = ModelPlanner::new(now);
    let mut replicas = replicas(&["a", "a", "a", "b"]);
    run(&mut planner, &mut replicas, &mut now, 60, [500, 500]);
    // The only replica of model b is reclaimed.
    replicas
        .retain(|replica| !replica.loaded.contains(&model("b")) || replica.endpoint.as_u32() < 3);
    replicas.retain(|replica| replica.endpoint.as_u32() != 3);
    for replica in &mut replicas {
        replica.loaded = vec![model("a")];
    }
    run(&mut planner, &mut replicas, &mut now, 120, [500, 500]);
    assert!(count(&replicas, "b") >= 1);
}
