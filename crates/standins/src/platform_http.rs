//! The platform's protocol over HTTP.
//!
//! Paths: `GET /tables/T/rows/KEY`, `GET /tables/T/scan?prefix=P&after=K&limit=N`,
//! `POST /tables/T/transact`, `GET` and `PUT /objects/NAME`, `GET /hosts`, `PUT` and
//! `DELETE /hosts/NAME`, `POST /faults`, `GET /counts`.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use camphorloft_http::body::read_body;
use camphorloft_http::listener::bind;
use camphorloft_http::serve::{Handler, InFlightCount, serve};
use camphorloft_platform::wire::{HostEntry, Write};
use camphorloft_types::prelude::ByteSize;
use tiny_http::{Method, Request, Response};

use crate::engine::{answer_json, answer_text, parse_body};
use crate::platform::{PlatformFault, PlatformState};

/// Largest object.
const MAX_OBJECT: ByteSize = ByteSize(16 << 20);
/// Requests in flight.
const MAX_IN_FLIGHT: usize = 2000;

/// The platform behind HTTP.
pub struct Platform {
    state: Mutex<PlatformState>,
    stop: Arc<AtomicBool>,
}

/// Owner of a platform and of its threads.
pub struct PlatformHandle {
    /// Address that the platform listens on.
    pub addr: SocketAddr,
    /// The platform.
    pub platform: Arc<Platform>,
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.platform.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts a platform on threads of this process.
///
/// # Errors
///
/// Returns the error of binding its address.
pub fn start_platform(addr: SocketAddr) -> std::io::Result<PlatformHandle> {
    let (server, addr) = bind(addr)?;
    let stop = Arc::new(AtomicBool::new(false));
    let platform = Arc::new(Platform { state: Mutex::default(), stop: stop.clone() });
    let serving = platform.clone();
    let in_flight = InFlightCount::default();
    thread::spawn(move || serve(&server, &serving, &stop, &in_flight, MAX_IN_FLIGHT));
    Ok(PlatformHandle { addr, platform })
}

impl Platform {
    /// Locks the state, for tests and for the embedded mode.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn transact(&self, mut req: Request, table: &str) {
        let Some(writes) = parse_body::<Vec<Write>>(&mut req) else {
            return answer_text(req, 400, "the body is not a list of writes");
        };
        let mut state = self.state();
        let result = state.transact(table, &writes);
        let lost = state.loses_answer();
        drop(state);
        match result {
            _ if lost => answer_text(req, 504, "the answer was lost"),
            Ok(()) => answer_text(req, 200, "{}"),
            Err(conflicts) => {
                let text = serde_json::to_string(&conflicts).unwrap_or_default();
                answer_text(req, 409, &text);
            }
        }
    }

    fn put_object(&self, mut req: Request, name: &str) {
        match read_body(&mut req, MAX_OBJECT) {
            Ok(bytes) => {
                self.state().put_object(name, bytes);
                answer_text(req, 200, "{}");
            }
            Err(err) => answer_text(req, 413, &err.to_string()),
        }
    }

    fn get_object(&self, req: Request, name: &str) {
        let object = self.state().get_object(name);
        match object {
            Some(bytes) => {
                let _ = req.respond(Response::from_data(bytes));
            }
            None => answer_text(req, 404, "no such object"),
        }
    }

    fn put_host(&self, mut req: Request, name: &str) {
        match parse_body::<HostEntry>(&mut req) {
            Some(entry) => {
                self.state().set_host(name, Some(entry));
                answer_text(req, 200, "{}");
            }
            None => answer_text(req, 400, "the body is not a host"),
        }
    }

    fn scan(&self, req: Request, table: &str, query: &str) {
        let find = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next().unwrap_or_default()
        };
        const DEFAULT_LIMIT: usize = 1000;
        let limit = find("limit").parse().unwrap_or(DEFAULT_LIMIT);
        let rows = self.state().scan(table, &find("prefix"), &find("after"), limit);
        answer_json(req, &rows);
    }
}

impl Handler for Platform {
    fn handle(&self, mut req: Request) {
        let url = req.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let parts: Vec<&str> = path.trim_start_matches('/').splitn(4, '/').collect();
        let control = matches!(parts[0], "faults" | "counts");
        if !control {
            let delay = self.state().delay();
            thread::sleep(delay);
        }
        if !control && self.state().refuses() {
            return answer_text(req, 503, "the platform is down");
        }
        match (req.method().clone(), parts.as_slice()) {
            (Method::Get, ["tables", table, "rows", key]) => {
                let row = self.state().read(table, key);
                match row {
                    Some(row) => answer_json(req, &row),
                    None => answer_text(req, 404, "no such row"),
                }
            }
            (Method::Get, ["tables", table, "scan"]) => self.scan(req, table, query),
            (Method::Post, ["tables", table, "transact"]) => self.transact(req, table),
            (Method::Get, ["objects", name]) => self.get_object(req, name),
            (Method::Put, ["objects", name]) => self.put_object(req, name),
            (Method::Get, ["hosts"]) => {
                let hosts = self.state().hosts();
                answer_json(req, &hosts);
            }
            (Method::Put, ["hosts", name]) => self.put_host(req, name),
            (Method::Delete, ["hosts", name]) => {
                self.state().set_host(name, None);
                answer_text(req, 200, "{}");
            }
            (Method::Post, ["faults"]) => match parse_body::<PlatformFault>(&mut req) {
                Some(fault) => {
                    self.state().inject(fault);
                    answer_text(req, 200, "{}");
                }
                None => answer_text(req, 400, "the body is not a fault"),
            },
            (Method::Get, ["counts"]) => {
                let counts = self.state().counts;
                answer_json(req, &counts);
            }
            _ => answer_text(req, 404, "no such path"),
        }
    }
}
