//! An HTTP service that counts its effects by idempotency key.
//!
//! A `POST`, `PUT` or `DELETE` on any path has an effect, which is counted under the value of the
//! `Idempotency-Key` header. The service does not deduplicate. `GET /effects` lists the counts.
//! `POST /faults` injects a fault instead. All other requests have no effect.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_http::header::header;
use camphorloft_http::listener::bind;
use camphorloft_http::serve::{Handler, InFlightCount, serve};
use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use crate::engine::{parse_body, respond_json, respond_text};

/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 1000;

/// A fault that the service stand-in can inject.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// Sends no response for a duration, in milliseconds. `/effects` and `/faults` still respond.
    Freeze(u64),
    /// Loses the responses of this many requests after their effect.
    LoseAnswers(u32),
}

#[derive(Default)]
struct ServiceState {
    effects: BTreeMap<String, u64>,
    frozen_until: Option<Instant>,
    pending_response_losses: u32,
}

/// A running service stand-in.
pub struct PlainService {
    state: Mutex<ServiceState>,
    stop: Arc<AtomicBool>,
}

/// Handle of a running service. Dropping it stops the threads of the service.
pub struct ServiceHandle {
    /// Address on which the service listens.
    pub addr: SocketAddr,
    /// The service.
    pub service: Arc<PlainService>,
}

impl Drop for ServiceHandle {
    fn drop(&mut self) {
        self.service.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts a service on threads of the current process.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn start_service(addr: SocketAddr) -> std::io::Result<ServiceHandle> {
    let (server, addr) = bind(addr)?;
    let stop = Arc::new(AtomicBool::new(false));
    let service = Arc::new(PlainService { state: Mutex::default(), stop: stop.clone() });
    let serving = service.clone();
    let in_flight = InFlightCount::default();
    thread::spawn(move || serve(&server, &serving, &stop, &in_flight, MAX_IN_FLIGHT));
    Ok(ServiceHandle { addr, service })
}

impl PlainService {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of effects by key.
    pub fn effects(&self) -> BTreeMap<String, u64> {
        self.state().effects.clone()
    }

    /// Injects a fault.
    pub fn inject(&self, fault: ServiceFault) {
        let mut state = self.state();
        match fault {
            ServiceFault::Freeze(ms) => {
                state.frozen_until = Some(Instant::now() + Duration::from_millis(ms));
            }
            ServiceFault::LoseAnswers(count) => state.pending_response_losses += count,
        }
    }

    fn wait_while_frozen(&self) {
        loop {
            let until = self.state().frozen_until;
            let Some(until) = until.filter(|until| Instant::now() < *until) else { return };
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    fn apply_effect(&self, req: Request) {
        let key = header(&req, "idempotency-key").unwrap_or("none").to_owned();
        let mut state = self.state();
        let effects = state.effects.entry(key.clone()).or_default();
        *effects += 1;
        let count = *effects;
        let lost = state.pending_response_losses > 0;
        state.pending_response_losses = state.pending_response_losses.saturating_sub(1);
        drop(state);
        self.wait_while_frozen();
        if lost {
            // A proxy in front of the service returns 504 when it loses the service's response.
            return respond_text(req, 504, "the answer was lost");
        }
        respond_json(req, &Effect { key, count });
    }
}

/// Response to a request with an effect.
#[derive(Serialize)]
struct Effect {
    key: String,
    count: u64,
}

impl Handler for PlainService {
    fn handle(&self, mut req: Request) {
        match (req.method().clone(), req.url()) {
            (Method::Get, "/effects") => respond_json(req, &self.effects()),
            (Method::Post, "/faults") => match parse_body::<ServiceFault>(&mut req) {
                Some(fault) => {
                    self.inject(fault);
                    respond_text(req, 200, "{}");
                }
                None => respond_text(req, 400, "the body is not a fault"),
            },
            (Method::Post | Method::Put | Method::Delete, _) => self.apply_effect(req),
            _ => {
                self.wait_while_frozen();
                respond_text(req, 200, "{\"status\":\"ok\"}");
            }
        }
    }
}
