//! A plain service that counts its effects by key.
//!
//! `POST` on any path has an effect, counted under the `Idempotency-Key` header, and the service
//! itself does not deduplicate. `GET /effects` lists the counts. Every other `GET` is idempotent.

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

use crate::engine::{answer_json, answer_text, parse_body};

/// Requests in flight.
const MAX_IN_FLIGHT: usize = 1000;

/// A fault for the stand-in to show.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// Holds each answer back until this time has passed, in milliseconds.
    Freeze(u64),
    /// Loses this many answers after the effect.
    LoseAnswers(u32),
}

#[derive(Default)]
struct ServiceState {
    effects: BTreeMap<String, u64>,
    frozen_until: Option<Instant>,
    lose_answers: u32,
}

/// The service behind HTTP.
pub struct PlainService {
    state: Mutex<ServiceState>,
    stop: Arc<AtomicBool>,
}

/// Owner of a service and of its threads.
pub struct ServiceHandle {
    /// Address that the service listens on.
    pub addr: SocketAddr,
    /// The service.
    pub service: Arc<PlainService>,
}

impl Drop for ServiceHandle {
    fn drop(&mut self) {
        self.service.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts a plain service on threads of this process.
///
/// # Errors
///
/// Returns the error of binding its address.
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

    /// Shows a fault.
    pub fn inject(&self, fault: ServiceFault) {
        let mut state = self.state();
        match fault {
            ServiceFault::Freeze(ms) => {
                state.frozen_until = Some(Instant::now() + Duration::from_millis(ms));
            }
            ServiceFault::LoseAnswers(count) => state.lose_answers += count,
        }
    }

    fn hold_while_frozen(&self) {
        loop {
            let until = self.state().frozen_until;
            let Some(until) = until.filter(|until| Instant::now() < *until) else { return };
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    fn run_effect(&self, req: Request) {
        let key = header(&req, "idempotency-key").unwrap_or("none").to_owned();
        let mut state = self.state();
        let effects = state.effects.entry(key.clone()).or_default();
        *effects += 1;
        let count = *effects;
        let lost = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        drop(state);
        self.hold_while_frozen();
        if lost {
            // An answer without its status is what a proxy in between gives.
            return answer_text(req, 504, "the answer was lost");
        }
        answer_json(req, &Effect { key, count });
    }
}

/// Answer to a call with an effect.
#[derive(Serialize)]
struct Effect {
    key: String,
    count: u64,
}

impl Handler for PlainService {
    fn handle(&self, mut req: Request) {
        match (req.method().clone(), req.url()) {
            (Method::Get, "/effects") => answer_json(req, &self.effects()),
            (Method::Post, "/faults") => match parse_body::<ServiceFault>(&mut req) {
                Some(fault) => {
                    self.inject(fault);
                    answer_text(req, 200, "{}");
                }
                None => answer_text(req, 400, "the body is not a fault"),
            },
            (Method::Post | Method::Put | Method::Delete, _) => self.run_effect(req),
            _ => {
                self.hold_while_frozen();
                answer_text(req, 200, "{\"status\":\"ok\"}");
            }
        }
    }
}
