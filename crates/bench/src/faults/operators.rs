//! Operators that race each other, and a watch over the versions in force.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_http::client::{Deadlines, unpooled_agent};
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{Proposal, ProposeError, propose, read_current};
use camphorloft_types::prelude::ConfigVersion;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use super::cluster::{Cluster, OPERATOR_KEY};
use super::ledger::{Ledger, Promise};

/// Time in which an accepted version must be in force on every host.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);
/// Time between two looks at the hosts.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Accepted versions with the instant of their acceptance.
pub type Accepted = Arc<Mutex<Vec<(ConfigVersion, Instant)>>>;

/// One operator.
pub struct Operator {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Results.
    pub ledger: Arc<Ledger>,
    /// Accepted versions.
    pub accepted: Accepted,
    /// Ends the operator.
    pub stop: Arc<AtomicBool>,
    /// Seed of its choices.
    pub seed: u64,
}

impl Operator {
    /// Proposes versions until stopped.
    pub fn run(&self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let platform = HttpPlatform::new(self.cluster.platform.addr);
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(rng.random_range(500..2500)));
            count += 1;
            let Ok(Some(current)) = read_current(&platform) else { continue };
            let Ok(set) = self.cluster.object_set(rng.random_range(1..1000)) else { continue };
            let id = format!("operator-{}-{count}", self.seed);
            let proposal = Proposal { id, author: "bench".to_owned(), base: current.version, set };
            match propose(&platform, &proposal) {
                Ok(version) => {
                    let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
                    accepted.push((version, Instant::now()));
                }
                Err(ProposeError::Superseded(..)) => self.ledger.fault("operator_race"),
                Err(_) => {}
            }
        }
    }
}

/// Watches the version in force on each host.
pub struct ConfigWatcher {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Results.
    pub ledger: Arc<Ledger>,
    /// Accepted versions.
    pub accepted: Accepted,
    /// Ends the watch.
    pub stop: Arc<AtomicBool>,
}

/// What the watch knows of one host.
#[derive(Clone, Copy, Default)]
struct Seen {
    process: u64,
    version: u64,
    violations: u64,
}

impl ConfigWatcher {
    /// Watches until stopped.
    pub fn run(&self) {
        let deadline = Duration::from_millis(500);
        let agent =
            unpooled_agent(Deadlines { connect: deadline, response: deadline, progress: deadline });
        let count = self.cluster.hosts().len();
        let mut seen = vec![Seen::default(); count];
        while !self.stop.load(Ordering::Relaxed) {
            for (ix, seen) in seen.iter_mut().enumerate() {
                self.look(&agent, ix, seen);
            }
            thread::sleep(WATCH_INTERVAL);
        }
    }

    fn look(&self, agent: &ureq::Agent, ix: usize, seen: &mut Seen) {
        let (http, process, steady_since, disturbed) = {
            let hosts = self.cluster.hosts();
            let slot = &hosts[ix];
            (slot.http, slot.process, slot.steady_since, slot.disturbed)
        };
        let asked_at = Instant::now();
        let call = agent.get(format!("http://{http}/operator/status"));
        let call = call.header("authorization", format!("Bearer {OPERATOR_KEY}"));
        let Ok(mut response) = call.call() else { return };
        let text = response.body_mut().read_to_string().unwrap_or_default();
        let Ok(status) = serde_json::from_str::<Value>(&text) else { return };
        let version = status["config_version"].as_u64().unwrap_or(0);
        let violations = status["violations"].as_u64().unwrap_or(0);
        if process != seen.process {
            *seen = Seen { process, ..Seen::default() };
        }
        self.ledger.check(Promise::ConfigMonotonic, version >= seen.version, || {
            format!("host {ix} went from version {} to {version}", seen.version)
        });
        self.ledger.check(Promise::InvariantsHold, violations <= seen.violations, || {
            format!("host {ix} counts {violations} violations")
        });
        *seen = Seen { process, version, violations };
        if !disturbed {
            self.check_in_force(ix, version, steady_since, asked_at);
        }
    }

    fn check_in_force(&self, ix: usize, version: u64, steady_since: Instant, now: Instant) {
        let accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        let due = accepted.iter().filter(|(_, at)| now >= *at + IN_FORCE_LIMIT);
        let newest = due.map(|(version, _)| version.0).max().unwrap_or(0);
        // A host that just started or was paused has the same time from then on.
        if now < steady_since + IN_FORCE_LIMIT {
            return;
        }
        self.ledger.check(Promise::ConfigInForce, version >= newest, || {
            format!("host {ix} has version {version} where {newest} is due")
        });
    }
}
