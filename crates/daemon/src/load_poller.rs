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

/// Minimum interval between two reports of one endpoint.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of reports that a host reads per second. A report takes about 375 bytes with its
/// HTTP headers, which amounts to 9 KB/s.
const REPORTS_PER_SECOND: f64 = 24.0;
/// Number of load reports read from an endpoint per read of its cache events.
const REPORTS_PER_CACHE_READ: u32 = 4;
/// Threads that read reports. An engine that does not respond blocks only one of them.
const POLLER_THREADS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The polled endpoints, shared with the core.
pub type PolledEndpoints = Arc<Mutex<Vec<PolledEndpoint>>>;

/// Reads load reports until stopped.
pub struct LoadPoller {
    /// The polled endpoints.
    pub endpoints: PolledEndpoints,
    /// The decision core.
    pub core: CoreSender,
    /// Stops the threads when set.
    pub stop: Arc<AtomicBool>,
}

impl LoadPoller {
    /// Starts the threads.
    pub fn start(self) {
        let poller = Arc::new(self);
        for worker in 0..POLLER_THREADS {
            let poller = poller.clone();
            thread::spawn(move || poller.run(worker));
        }
    }

    fn run(&self, worker: usize) {
        let deadlines = EngineDeadlines {
            connect: CONNECT_TIMEOUT,
            response: RESPONSE_TIMEOUT,
            progress: RESPONSE_TIMEOUT,
        };
        let client = EngineClient::new(deadlines);
        let mut cache_positions = HashMap::new();
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            self.poll_round(&client, worker, round, &mut cache_positions);
            round += 1;
        }
    }

    /// Polls the endpoints of one worker once, spread evenly over the interval.
    fn poll_round(
        &self,
        client: &EngineClient,
        worker: usize,
        round: u32,
        cache_positions: &mut HashMap<EndpointIx, usize>,
    ) {
        let (endpoints, interval) = {
            let all = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
            let assigned = all.iter().skip(worker).step_by(POLLER_THREADS).cloned();
            (assigned.collect::<Vec<PolledEndpoint>>(), report_interval(all.len()))
        };
        let interval_per_endpoint = interval / endpoints.len().max(1) as u32;
        if endpoints.is_empty() {
            thread::sleep(interval_per_endpoint);
        }
        for endpoint in &endpoints {
            let started = Instant::now();
            self.poll(client, endpoint, round, cache_positions);
            thread::sleep(interval_per_endpoint.saturating_sub(started.elapsed()));
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
        // A missed event costs at most one cache hit.
        if let Ok(events) = client.cache_events(endpoint.addr, *position) {
            *position = events.next;
            self.core.send(CoreMessage::CacheEvents(endpoint.ix, events));
        }
    }
}

/// Returns the interval between two reports of one endpoint when `count` endpoints are polled.
fn report_interval(count: usize) -> Duration {
    Duration::from_secs_f64(count as f64 / REPORTS_PER_SECOND).max(MIN_REPORT_INTERVAL)
}
