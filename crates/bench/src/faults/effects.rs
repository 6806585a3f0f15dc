//! Callers whose calls must not be repeated.

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

use super::callers::caller_agent;
use super::cluster::{Cluster, organisation_key};
use super::ledger::{Ended, Ledger, Promise};

/// Times that a call is sent under one key.
const MAX_TRIES: u32 = 12;
/// Wait between two tries.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// How each key ended, for the comparison with the effects.
pub type KeyLedger = Arc<Mutex<BTreeMap<String, KeyEnd>>>;

/// How the calls under one key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyEnd {
    /// Answered by the service.
    Completed,
    /// Never run, as far as the caller was told.
    NotRun,
    /// May have run.
    Unknown,
}

/// One caller of the plain service.
pub struct EffectCaller {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Results.
    pub ledger: Arc<Ledger>,
    /// How each key ended.
    pub keys: KeyLedger,
    /// Ends the caller.
    pub stop: Arc<AtomicBool>,
    /// Seed of its choices.
    pub seed: u64,
}

enum Answer {
    Completed,
    NotRun,
    InProgress,
    Unknown,
    NotSent,
    Broken,
}

impl EffectCaller {
    /// Makes calls until stopped.
    pub fn run(&self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let agent = caller_agent();
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            let key = format!("key-{}-{count}", self.seed);
            self.ledger.begin();
            let end = self.call(&agent, &mut rng, &key);
            let mut keys = self.keys.lock().unwrap_or_else(PoisonError::into_inner);
            keys.insert(key, end);
            drop(keys);
            self.ledger.end(match end {
                KeyEnd::Completed => Ended::Completed,
                KeyEnd::NotRun => Ended::NotRun,
                KeyEnd::Unknown => Ended::Unknown,
            });
            thread::sleep(Duration::from_millis(rng.random_range(1..20)));
        }
    }

    /// Sends a call under one key until its fate is known. Gives up at random after a refusal, so
    /// that refused calls stay not run.
    fn call(&self, agent: &Agent, rng: &mut Pcg64Mcg, key: &str) -> KeyEnd {
        let mut ambiguous = false;
        for _ in 0..MAX_TRIES {
            let host = {
                let hosts = self.cluster.hosts();
                hosts[rng.random_range(0..hosts.len())].http
            };
            match self.try_once(agent, host, key) {
                Answer::Completed => return KeyEnd::Completed,
                Answer::NotRun if !ambiguous && rng.random_bool(0.5) => return KeyEnd::NotRun,
                Answer::Unknown => return KeyEnd::Unknown,
                Answer::NotRun | Answer::NotSent => {}
                Answer::InProgress | Answer::Broken => ambiguous = true,
            }
            thread::sleep(RETRY_WAIT);
        }
        if ambiguous { KeyEnd::Unknown } else { KeyEnd::NotRun }
    }

    fn try_once(&self, agent: &Agent, host: SocketAddr, key: &str) -> Answer {
        let call = agent
            .post(format!("http://{host}/services/booking/reserve"))
            .header("authorization", format!("Bearer {}", organisation_key("windhoek")))
            .header("idempotency-key", key)
            .header("connection", "close")
            .send(key.as_bytes());
        let mut response = match call {
            Ok(response) => response,
            Err(err) if is_not_sent(&err) => return Answer::NotSent,
            Err(_) => return Answer::Broken,
        };
        if response.status() == 200 {
            return Answer::Completed;
        }
        let status = response.status().as_u16();
        let Ok(text) = response.body_mut().read_to_string() else { return Answer::Broken };
        let problem: Value = serde_json::from_str(&text).unwrap_or_default();
        let stated = matches!(problem["outcome"].as_str(), Some("not_run" | "unknown"));
        self.ledger.check(Promise::EveryRequestEnds, stated, || {
            format!("status {status} states no outcome: {text}")
        });
        match (problem["outcome"].as_str(), problem["code"].as_str()) {
            (Some("not_run"), _) => Answer::NotRun,
            (Some(_), Some("in_progress")) => Answer::InProgress,
            (Some(_), _) => Answer::Unknown,
            (None, _) => Answer::Broken,
        }
    }
}

/// Compares how each key ended with the effects that the service counted. Returns the effects.
pub fn check_effects(cluster: &Cluster, keys: &KeyLedger, ledger: &Ledger) -> u64 {
    let effects = cluster.effects();
    for (key, count) in &effects {
        ledger.check(Promise::EffectAtMostOnce, *count <= 1, || format!("{key}: {count} effects"));
    }
    for (key, end) in keys.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        let count = effects.get(key).copied().unwrap_or(0);
        match end {
            KeyEnd::Completed => ledger.check(Promise::EffectAtMostOnce, count == 1, || {
                format!("{key}: completed with {count} effects")
            }),
            KeyEnd::NotRun => ledger.check(Promise::NotRunWasNotRun, count == 0, || {
                format!("{key}: reported as not run with {count} effects")
            }),
            KeyEnd::Unknown => {}
        }
    }
    effects.values().sum()
}
