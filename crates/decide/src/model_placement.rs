//! Plans which models to load on engines that cannot hold all of their allowed models.
//!
//! Demand is a decaying sum of expected tokens. Each model should have replicas in proportion to
//! its demand, and at least one. A replica is switched only after one model has had a deficit of
//! most of a replica for some time while another has a surplus of as much. The number of
//! concurrent loads is limited by what the weight store can serve.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

/// Time constant of the exponential decay of demand.
const DEMAND_TIME_CONSTANT_SECONDS: f64 = 60.0;
/// Deficit of one model and surplus of another, in replicas, from which a replica is switched.
const SURPLUS_HYSTERESIS: f64 = 0.75;
/// Time for which a deficit must last before a replica is switched.
const MIN_DEFICIT_DURATION: Duration = Duration::from_secs(20);
/// Largest number of concurrent loads.
const MAX_LOADS: usize = 2;
/// Time after which a load that no report has shown is considered failed.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// An engine that cannot hold all of its allowed models.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Models that it may load.
    pub allowed: Vec<ModelName>,
    /// Models that it reports as loaded.
    pub loaded: Vec<ModelName>,
    /// Number of models that it can hold at once.
    pub max_models: usize,
    /// Number of running sequences.
    pub running: u32,
}

/// A planned change of the models loaded on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSwitch {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Model to unload first, if the engine is full.
    pub unload: Option<ModelName>,
    /// Model to load.
    pub load: ModelName,
}

/// Plans model switches from demand and pending loads.
#[derive(Clone, Debug)]
pub struct ModelPlanner {
    demand: BTreeMap<ModelName, f64>,
    decayed_at: Instant,
    deficit_since: BTreeMap<ModelName, Instant>,
    loading: BTreeMap<EndpointIx, (ModelName, Instant)>,
}

impl ModelPlanner {
    /// Creates a planner without demand.
    pub fn new(now: Instant) -> Self {
        Self {
            demand: BTreeMap::new(),
            decayed_at: now,
            deficit_since: BTreeMap::new(),
            loading: BTreeMap::new(),
        }
    }

    /// Adds the expected tokens of a generation to the demand of its model.
    pub fn record_demand(&mut self, model: &ModelName, expected_tokens: u32, now: Instant) {
        self.decay(now);
        *self.demand.entry(model.clone()).or_default() += f64::from(expected_tokens);
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / DEMAND_TIME_CONSTANT_SECONDS).exp();
        for demand in self.demand.values_mut() {
            *demand *= factor;
        }
        self.decayed_at = now;
    }

    /// Returns the target number of replicas of each model, which may be fractional.
    fn targets(&self, replicas: &[Replica]) -> BTreeMap<ModelName, f64> {
        let models: std::collections::BTreeSet<&ModelName> =
            replicas.iter().flat_map(|replica| &replica.allowed).collect();
        let slots: usize = replicas.iter().map(|replica| replica.max_models).sum();
        let demand = |model: &ModelName| self.demand.get(model).copied().unwrap_or(0.0);
        let total: f64 = models.iter().map(|model| demand(model)).sum();
        let spare = slots.saturating_sub(models.len()) as f64;
        let share = |model: &ModelName| if total > 0.0 { demand(model) / total } else { 0.0 };
        models.into_iter().map(|model| (model.clone(), 1.0 + spare * share(model))).collect()
    }

    /// Plans the next switches.
    pub fn plan(&mut self, replicas: &[Replica], now: Instant) -> Vec<ModelSwitch> {
        self.decay(now);
        self.remove_completed_loads(replicas, now);
        let targets = self.targets(replicas);
        let mut counts: BTreeMap<ModelName, f64> = BTreeMap::new();
        for replica in replicas {
            for model in &replica.loaded {
                *counts.entry(model.clone()).or_default() += 1.0;
            }
        }
        for (model, _) in self.loading.values() {
            *counts.entry(model.clone()).or_default() += 1.0;
        }
        let surplus = |model: &ModelName| {
            counts.get(model).copied().unwrap_or(0.0) - targets.get(model).copied().unwrap_or(0.0)
        };
        self.update_deficits(&targets, &surplus, now);
        let mut switches = Vec::new();
        let due: Vec<ModelName> = self
            .deficit_since
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= MIN_DEFICIT_DURATION)
            .map(|(model, _)| model.clone())
            .collect();
        for model in due {
            if self.loading.len() >= MAX_LOADS {
                break;
            }
            let Some(switch) = self.choose_replica(replicas, &model, &surplus) else { continue };
            self.loading.insert(switch.endpoint, (model.clone(), now));
            self.deficit_since.remove(&model);
            switches.push(switch);
        }
        switches
    }

    /// Removes loads that a report shows as completed or that timed out.
    fn remove_completed_loads(&mut self, replicas: &[Replica], now: Instant) {
        self.loading.retain(|endpoint, (model, since)| {
            let replica = replicas.iter().find(|replica| replica.endpoint == *endpoint);
            let loaded = replica.is_some_and(|replica| replica.loaded.contains(model));
            !loaded && now.saturating_duration_since(*since) < LOAD_TIMEOUT
        });
    }

    fn update_deficits<Surplus>(
        &mut self,
        targets: &BTreeMap<ModelName, f64>,
        surplus: &Surplus,
        now: Instant,
    ) where
        Surplus: Fn(&ModelName) -> f64,
    {
        for model in targets.keys() {
            if surplus(model) <= -SURPLUS_HYSTERESIS {
                self.deficit_since.entry(model.clone()).or_insert(now);
            } else {
                self.deficit_since.remove(model);
            }
        }
    }

    /// Chooses the replica to load `model` on: the least busy one with room, otherwise one that
    /// holds the model with the largest sufficient surplus.
    fn choose_replica<Surplus>(
        &self,
        replicas: &[Replica],
        model: &ModelName,
        surplus: &Surplus,
    ) -> Option<ModelSwitch>
    where
        Surplus: Fn(&ModelName) -> f64,
    {
        let may_load = |replica: &&Replica| {
            let allowed = replica.allowed.contains(model) && !replica.loaded.contains(model);
            allowed && !self.loading.contains_key(&replica.endpoint)
        };
        let candidates: Vec<&Replica> = replicas.iter().filter(may_load).collect();
        let by_use = |replica: &&&Replica| replica.running;
        let free = |replica: &&&Replica| replica.loaded.len() < replica.max_models;
        if let Some(replica) = candidates.iter().filter(free).min_by_key(by_use) {
            let (endpoint, load) = (replica.endpoint, model.clone());
            return Some(ModelSwitch { endpoint, unload: None, load });
        }
        let mut best: Option<(f64, u32, ModelSwitch)> = None;
        for replica in candidates {
            for loaded in &replica.loaded {
                let extra = surplus(loaded);
                let better = best.as_ref().is_none_or(|(most, running, _)| {
                    extra > *most || (extra == *most && replica.running < *running)
                });
                if extra >= SURPLUS_HYSTERESIS && better {
                    let unload = Some(loaded.clone());
                    let (endpoint, load) = (replica.endpoint, model.clone());
                    let switch = ModelSwitch { endpoint, unload, load };
                    best = Some((extra, replica.running, switch));
                }
            }
        }
        best.map(|(_, _, switch)| switch)
    }
}
