//! Which models the engines that cannot hold all of theirs should load.
//!
//! Demand is measured in expected tokens asked for per second and decays. Each model should have
//! replicas in proportion to its demand, and at least one. A replica is switched only when a model
//! lacks most of a replica for a while and another has most of one too many, and only as many
//! loads run at a time as the weight store bears.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use camphorloft_types::prelude::*;

/// Time constant of the demand, in seconds.
const DEMAND_TIME_CONSTANT_SECONDS: f64 = 60.0;
/// Part of a replica that a model must lack, and another must have too much of.
const SURPLUS_HYSTERESIS: f64 = 0.75;
/// Time for which it must do so.
const MIN_DEFICIT_DURATION: Duration = Duration::from_secs(20);
/// Loads that may run at a time.
const MAX_LOADS: usize = 2;
/// Time after which a load that did not show up in a report is no longer expected.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// An engine that cannot hold all of its models.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Models that it may load.
    pub allowed: Vec<ModelName>,
    /// Models that it has loaded, as reported.
    pub loaded: Vec<ModelName>,
    /// Models that it may hold at a time.
    pub max_models: usize,
    /// Sequences that run there.
    pub running: u32,
}

/// An order to switch a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSwitch {
    /// Endpoint.
    pub endpoint: EndpointIx,
    /// Model to unload first, if the engine is full.
    pub unload: Option<ModelName>,
    /// Model to load.
    pub load: ModelName,
}

/// Demand and pending switches.
#[derive(Clone, Debug)]
pub struct ModelPlanner {
    demand: BTreeMap<ModelName, f64>,
    decayed_at: Instant,
    deficit_since: BTreeMap<ModelName, Instant>,
    loading: BTreeMap<EndpointIx, (ModelName, Instant)>,
}

impl ModelPlanner {
    /// Builds a planner without demand.
    pub fn new(now: Instant) -> Self {
        Self {
            demand: BTreeMap::new(),
            decayed_at: now,
            deficit_since: BTreeMap::new(),
            loading: BTreeMap::new(),
        }
    }

    /// Counts a generation that asks for a model.
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

    /// Returns the replicas that each model should have, in parts of a replica.
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

    /// Forgets loads that a report shows or that took too long.
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

    /// Chooses the least used replica with room, or one whose model has most of a replica too many.
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
