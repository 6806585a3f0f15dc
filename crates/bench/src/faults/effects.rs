//! Clients of a service whose calls must not be repeated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use camphorloft_http::client::is_not_sent;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use ureq::Agent;

use super::clients::client_agent;
use super::cluster::{Cluster, organisation_key};
use super::recorder::{Invariant, Outcome, Recorder};

/// Maximum number of tries with one idempotency key.
const MAX_TRIES: u32 = 12;
/// Delay between two tries.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// Outcome of each idempotency key, for the comparison with the effects.
pub type KeyOutcomes = Arc<Mutex<BTreeMap<String, KeyOutcome>>>;

/// Outcome of the calls with one idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The service responded.
    Completed,
    /// Not run, according to the outcomes that the client received.
    NotRun,
    /// A call may have run.
    Unknown,
}

/// A client of the plain service.
pub struct EffectClient {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Recorder of the outcomes.
    pub recorder: Arc<Recorder>,
    /// Outcomes of the keys.
    pub keys: KeyOutcomes,
    /// Stops the client when set.
    pub stop: Arc<AtomicBool>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Reply to one try, or the failure to get one.
enum Reply {
    Completed,
    NotRun,
    InProgress,
    Unknown,
    NotSent,
    Broken,
}

impl EffectClient {
    /// Makes calls until stopped.
    pub fn run(&self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let agent = client_agent();
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            let key = format!("key-{}-{count}", self.seed);
            self.recorder.start();
            let outcome = self.call(&agent, &mut rng, &key);
            let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
            keys.insert(key, outcome);
            drop(keys);
            self.recorder.end(match outcome {
                KeyOutcome::Completed => Outcome::Completed,
                KeyOutcome::NotRun => Outcome::NotRun,
                KeyOutcome::Unknown => Outcome::Unknown,
            });
            thread::sleep(Duration::from_millis(rng.random_range(1..20)));
        }
    }

    /// Sends a call with one key until its outcome is known. After a refusal it stops at random, so
    /// that some keys end as not run.
    fn call(&self, agent: &Agent, rng: &mut Pcg64Mcg, key: &str) -> KeyOutcome {
        let mut ambiguous = false;
        for _ in 0..MAX_TRIES {
            let host = {
                let hosts = self.cluster.hosts();
                hosts[rng.random_range(0..hosts.len())].http
            };
            match self.try_once(agent, host, key) {
                Reply::Completed => return KeyOutcome::Completed,
                Reply::NotRun if !ambiguous && rng.random_bool(0.5) => return KeyOutcome::NotRun,
                Reply::Unknown => return KeyOutcome::Unknown,
                Reply::NotRun | Reply::NotSent => {}
                Reply::InProgress | Reply::Broken => ambiguous = true,
            }
            thread::sleep(RETRY_WAIT);
        }
        if ambiguous { KeyOutcome::Unknown } else { KeyOutcome::NotRun }
    }

    fn try_once(&self, agent: &Agent, host: SocketAddr, key: &str) -> Reply {
        let call = agent
            .post(format!("http://{host}/services/booking/reserve"))
            .header("authorization", format!("Bearer {}", organisation_key("windhoek")))
            .header("idempotency-key", key)
            .header("connection", "close")
            .send(key.as_bytes());
        let mut response = match call {
            Ok(response) => response,
            Err(err) if is_not_sent(&err) => return Reply::NotSent,
            Err(_) => return Reply::Broken,
        };
        if response.status() == 200 {
            return Reply::Completed;
        }
        let status = response.status().as_u16();
        let Ok(text) = response.body_mut().read_to_string() else { return Reply::Broken };
        let problem: Value = serde_json::from_str(&text).unwrap_or_default();
        let stated = matches!(problem["outcome"].as_str(), Some("not_run" | "unknown"));
        self.recorder.check(Invariant::EveryRequestEnds, stated, || {
            format!("status {status} states no outcome: {text}")
        });
        match (problem["outcome"].as_str(), problem["code"].as_str()) {
            (Some("not_run"), _) => Reply::NotRun,
            (Some(_), Some("in_progress")) => Reply::InProgress,
            (Some(_), _) => Reply::Unknown,
            (None, _) => Reply::Broken,
        }
    }
}

/// Compares the outcome of each key with the effects that the service counted. Returns the number
/// of effects.
pub fn check_effects(cluster: &Cluster, keys: &KeyOutcomes, recorder: &Recorder) -> u64 {
    let effects = cluster.effects();
    for (key, count) in &effects {
        recorder
            .check(Invariant::EffectAtMostOnce, *count <= 1, || format!("{key}: {count} effects"));
    }
    for (key, outcome) in keys.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        let count = effects.get(key).copied().unwrap_or(0);
        match outcome {
            KeyOutcome::Completed => {
                recorder.check(Invariant::EffectAtMostOnce, count == 1, || {
                    format!("{key}: completed with {count} effects")
                })
            }
            KeyOutcome::NotRun => recorder.check(Invariant::NotRunWasNotRun, count == 0, || {
                format!("{key}: reported as not run with {count} effects")
            }),
            KeyOutcome::Unknown => {}
        }
    }
    effects.values().sum()
}
