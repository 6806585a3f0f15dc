//! Reads the load reports of the engines.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_engine::client::{EngineClient, EngineDeadlines};
use camphorloft_types::prelude::EndpointIx;

use crate::core_client::CoreSender;
use crate::core_thread::{CoreMessage, PolledEndpoint};

/// Least time between two reports of one endpoint.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Reports that a host reads per second at most. One takes about 375 bytes with its HTTP heads,
/// so that this is 9 KB/s.
const REPORTS_PER_SECOND: f64 = 24.0;
/// Reports between two reads of the cache events.
const REPORTS_PER_CACHE_READ: u32 = 4;
/// Threads that read reports. One engine that hangs holds up one of them.
const POLLER_THREADS: usize = 4;
const CONNECT: Duration = Duration::from_millis(500);
const RESPONSE: Duration = Duration::from_secs(1);

/// The endpoints whose load is read, shared with the core.
pub type PolledEndpoints = Arc<Mutex<Vec<PolledEndpoint>>>;

/// Reads load reports until stopped.
pub struct LoadPoller {
    /// The endpoints.
    pub endpoints: PolledEndpoints,
    /// The decision core.
    pub core: CoreSender,
    /// Ends the threads.
    pub stop: Arc<AtomicBool>,
}

impl LoadPoller {
    /// Starts the threads.
    pub fn start(self) {
        let poller = Arc::new(self);
        for share in 0..POLLER_THREADS {
            let poller = poller.clone();
            thread::spawn(move || poller.run(share));
        }
    }

    fn run(&self, share: usize) {
        let deadlines =
            EngineDeadlines { connect: CONNECT, response: RESPONSE, progress: RESPONSE };
        let client = EngineClient::new(deadlines);
        let mut cache_positions = HashMap::new();
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            self.poll_round(&client, share, round, &mut cache_positions);
            round += 1;
        }
    }

    /// Reads the endpoints of one share, spread over the interval.
    fn poll_round(
        &self,
        client: &EngineClient,
        share: usize,
        round: u32,
        cache_positions: &mut HashMap<EndpointIx, usize>,
    ) {
        let (endpoints, interval) = {
            let all = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
            let share = all.iter().skip(share).step_by(POLLER_THREADS).cloned();
            (share.collect::<Vec<PolledEndpoint>>(), report_interval(all.len()))
        };
        let each = interval / endpoints.len().max(1) as u32;
        if endpoints.is_empty() {
            thread::sleep(each);
        }
        for endpoint in &endpoints {
            let started = Instant::now();
            self.poll(client, endpoint, round, cache_positions);
            thread::sleep(each.saturating_sub(started.elapsed()));
        }
    }

    fn poll(
        &self,
        client: &EngineClient,
        endpoint: &PolledEndpoint,
        round: u32,
        cache_positions: &mut HashMap<EndpointIx, usize>,
    ) {
        match client.load(endpoint.addr) {
            Ok(report) => {
                let age = Duration::from_millis(report.age_ms);
                let now = Instant::now();
                let made_at = now.checked_sub(age).unwrap_or(now);
                self.core.send(CoreMessage::Load(endpoint.ix, report, made_at));
            }
            Err(_) => return self.core.send(CoreMessage::LoadFailed(endpoint.ix)),
        }
        if !round.is_multiple_of(REPORTS_PER_CACHE_READ) {
            return;
        }
        let position = cache_positions.entry(endpoint.ix).or_insert(0);
        // A missed announcement costs a cache hit at most.
        if let Ok(events) = client.cache_events(endpoint.addr, *position) {
            *position = events.next;
            self.core.send(CoreMessage::CacheEvents(endpoint.ix, events));
        }
    }
}

/// Returns the time between two reports of one endpoint when `count` endpoints are read.
fn report_interval(count: usize) -> Duration {
    Duration::from_secs_f64(count as f64 / REPORTS_PER_SECOND).max(MIN_REPORT_INTERVAL)
}
