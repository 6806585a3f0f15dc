//! Concurrent operators, and a monitor of the configuration version in force on each host.

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
use super::recorder::{Invariant, Recorder};

/// Deadline for an accepted version to be in force on every host.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);
/// Interval between polls of the hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Accepted versions, each with the instant of its acceptance.
pub type AcceptedVersions = Arc<Mutex<Vec<(ConfigVersion, Instant)>>>;

/// An operator that proposes configuration versions.
pub struct Operator {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Recorder of the checks.
    pub recorder: Arc<Recorder>,
    /// Accepted versions.
    pub accepted: AcceptedVersions,
    /// Stops the operator when set.
    pub stop: Arc<AtomicBool>,
    /// Seed of the random choices.
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
                Err(ProposeError::Superseded(..)) => self.recorder.fault("operator_race"),
                Err(_) => {}
            }
        }
    }
}

/// Checks the configuration version in force on each host.
pub struct ConfigWatcher {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Recorder of the checks.
    pub recorder: Arc<Recorder>,
    /// Accepted versions.
    pub accepted: AcceptedVersions,
    /// Stops the watcher when set.
    pub stop: Arc<AtomicBool>,
}

/// Last observed state of one host.
#[derive(Clone, Copy, Default)]
struct Observed {
    process: u64,
    version: u64,
    violations: u64,
}

impl ConfigWatcher {
    /// Polls the hosts until stopped.
    pub fn run(&self) {
        let deadline = Duration::from_millis(500);
        let agent =
            unpooled_agent(Deadlines { connect: deadline, response: deadline, progress: deadline });
        let count = self.cluster.hosts().len();
        let mut observed = vec![Observed::default(); count];
        while !self.stop.load(Ordering::Relaxed) {
            for (ix, observed) in observed.iter_mut().enumerate() {
                self.poll_host(&agent, ix, observed);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn poll_host(&self, agent: &ureq::Agent, ix: usize, observed: &mut Observed) {
        let (http, process, stable_since, disrupted) = {
            let hosts = self.cluster.hosts();
            let slot = &hosts[ix];
            (slot.http, slot.process, slot.stable_since, slot.disrupted)
        };
        let sent_at = Instant::now();
        let call = agent.get(format!("http://{http}/operator/status"));
        let call = call.header("authorization", format!("Bearer {OPERATOR_KEY}"));
        let Ok(mut response) = call.call() else { return };
        let text = response.body_mut().read_to_string().unwrap_or_default();
        let Ok(status) = serde_json::from_str::<Value>(&text) else { return };
        let version = status["config_version"].as_u64().unwrap_or(0);
        let violations = status["violations"].as_u64().unwrap_or(0);
        if process != observed.process {
            *observed = Observed { process, ..Observed::default() };
        }
        self.recorder.check(Invariant::ConfigMonotonic, version >= observed.version, || {
            format!("host {ix} went from version {} to {version}", observed.version)
        });
        self.recorder.check(Invariant::InvariantsHold, violations <= observed.violations, || {
            format!("host {ix} counts {violations} violations")
        });
        *observed = Observed { process, version, violations };
        if !disrupted {
            self.check_in_force(ix, version, stable_since, sent_at);
        }
    }

    fn check_in_force(&self, ix: usize, version: u64, stable_since: Instant, now: Instant) {
        let accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        let due = accepted.iter().filter(|(_, at)| now >= *at + IN_FORCE_LIMIT);
        let newest = due.map(|(version, _)| version.0).max().unwrap_or(0);
        // After a start or a pause, the deadline of a host counts from that instant.
        if now < stable_since + IN_FORCE_LIMIT {
            return;
        }
        self.recorder.check(Invariant::ConfigInForce, version >= newest, || {
            format!("host {ix} has version {version} where {newest} is due")
        });
    }
}
