//! Fetches versions of the object set and the host list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::time::{Duration, Instant};

use camphorloft_membership::{Member, MemberState};
use camphorloft_peer::seal::FrameKeys;
use camphorloft_platform::api::PlatformApi;
use camphorloft_platform::publication::{PublishedDelta, VersionedSet, fetch_since, read_history};
use camphorloft_platform::wire::HostEntry;
use camphorloft_types::prelude::*;
use cpu_time::ThreadTime;
use rand::Rng;
use slog::{Logger, debug, error};

use crate::config_exchange::fetch_from_peer;
use crate::config_state::{ApplyOutcome, ConfigState};
use crate::peer_link::{ControlListener, LinkRequest, LinkState, TICK, add_cpu_time};

/// Reads of the newest version per second by all hosts together.
const CONFIG_READS_PER_SECOND: f64 = 100.0;
/// Minimum interval between two such reads of one host.
const MIN_CONFIG_POLL: Duration = Duration::from_secs(1);

/// The thread that polls the platform and fetches sets from other hosts.
pub(crate) struct Fetcher<P, L>
where
    P: PlatformApi,
    L: ControlListener,
{
    pub(crate) platform: Arc<P>,
    pub(crate) config: ConfigState,
    pub(crate) keys: FrameKeys,
    pub(crate) events: Arc<L>,
    pub(crate) requests: Sender<LinkRequest>,
    pub(crate) state: Arc<LinkState>,
    pub(crate) expected_hosts: u32,
    pub(crate) log: Logger,
    pub(crate) stop: Arc<AtomicBool>,
}

impl<P, L> Fetcher<P, L>
where
    P: PlatformApi,
    L: ControlListener,
{
    /// Runs until stopped.
    pub(crate) fn run(&self, fetches: &Receiver<(SocketAddr, ConfigVersion)>) {
        let mut next_poll = Instant::now();
        let mut cpu = ThreadTime::now();
        while !self.stop.load(Ordering::Relaxed) {
            let wait = next_poll.saturating_duration_since(Instant::now());
            if let Ok((peer, version)) = fetches.recv_timeout(wait.min(TICK)) {
                self.fetch_from(peer, version);
            }
            if Instant::now() >= next_poll {
                self.poll_config();
                self.poll_hosts();
                next_poll = Instant::now() + self.poll_interval();
            }
            add_cpu_time(&self.state, &mut cpu);
        }
    }

    /// Returns the time until the next poll. The hosts divide a fixed rate of reads between them,
    /// and jitter spreads the polls of hosts that started at the same time.
    fn poll_interval(&self) -> Duration {
        let hosts = (self.state.live.load(Ordering::Relaxed) + 1).max(self.expected_hosts);
        let share = Duration::from_secs_f64(f64::from(hosts) / CONFIG_READS_PER_SECOND);
        share.max(MIN_CONFIG_POLL).mul_f64(rand::rng().random_range(0.75..1.25))
    }

    fn poll_config(&self) {
        let known = self.config.raw();
        match fetch_since(&*self.platform, &known) {
            Ok(Some(fetched)) => {
                let delta = self.last_delta(&known, &fetched);
                self.apply(fetched, delta, "platform");
            }
            Ok(None) => {}
            Err(err) => debug!(self.log, "configuration not fetched"; "error" => %err),
        }
    }

    /// Returns the published delta if exactly one version was missing.
    fn last_delta(&self, known: &VersionedSet, fetched: &VersionedSet) -> Option<PublishedDelta> {
        if fetched.version != known.version.next() || known.version.0 == 0 {
            return None;
        }
        let delta = read_history(&*self.platform, 1).ok()?.pop()?;
        (delta.version == fetched.version).then_some(delta)
    }

    fn fetch_from(&self, peer: SocketAddr, version: ConfigVersion) {
        if version <= self.config.version() {
            return;
        }
        match fetch_from_peer(peer, &self.keys, self.config.version()) {
            Ok(Some(fetched)) => self.apply(fetched, None, "peer"),
            Ok(None) => {}
            Err(err) => {
                debug!(self.log, "configuration not fetched"; "peer" => %peer, "error" => %err);
            }
        }
    }

    fn apply(&self, candidate: VersionedSet, delta: Option<PublishedDelta>, source: &str) {
        let version = candidate.version;
        match self.config.apply(candidate) {
            ApplyOutcome::InForce(serving) => {
                self.events.config_in_force(serving, source);
                // The receiving thread stops only with the host.
                let _ = self.requests.send(LinkRequest::Announce(version, delta));
            }
            ApplyOutcome::Stale => {}
            ApplyOutcome::Invalid(findings) => {
                error!(self.log, "published version is invalid; keeping the current one";
                    "version" => %version, "findings" => %findings);
            }
        }
    }

    fn poll_hosts(&self) {
        let Ok(entries) = self.platform.hosts() else { return };
        let draining = entries.iter().filter(|entry| entry.leaving);
        self.events.draining_addresses(draining.map(|entry| entry.addr.clone()).collect());
        let seeds: Vec<Member> = entries.iter().filter_map(seed_member).collect();
        let _ = self.requests.send(LinkRequest::Seeds(seeds));
    }
}

/// Returns the member for an entry of the host list, or `None` if it is not a host of this system.
fn seed_member(entry: &HostEntry) -> Option<Member> {
    let addr = entry.addr.parse().ok()?;
    Some(Member {
        host: entry.name.parse().ok()?,
        addr,
        http_addr: entry.http_addr.as_deref()?.parse().ok()?,
        region: entry.region.parse().ok()?,
        zone: entry.zone.parse().ok()?,
        incarnation: Incarnation(0),
        started_ms: 0,
        state: MemberState::Alive,
        suspected_by: None,
    })
}
