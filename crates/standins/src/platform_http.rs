//! Serves the platform over HTTP.
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

use crate::engine::{parse_body, respond_json, respond_text};
use crate::platform::{PlatformFault, PlatformState};

/// Maximum size of an object.
const MAX_OBJECT_SIZE: ByteSize = ByteSize(16 << 20);
/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 2000;

/// A running platform stand-in.
pub struct Platform {
    state: Mutex<PlatformState>,
    stop: Arc<AtomicBool>,
}

/// Handle of a running platform. Dropping it stops the threads of the platform.
pub struct PlatformHandle {
    /// Address on which the platform listens.
    pub addr: SocketAddr,
    /// The platform.
    pub platform: Arc<Platform>,
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.platform.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts a platform on threads of the current process.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
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
            return respond_text(req, 400, "the body is not a list of writes");
        };
        let mut state = self.state();
        let result = state.transact(table, &writes);
        let lost = state.take_response_loss();
        drop(state);
        match result {
            _ if lost => respond_text(req, 504, "the answer was lost"),
            Ok(()) => respond_text(req, 200, "{}"),
            Err(conflicts) => {
                let text = serde_json::to_string(&conflicts).unwrap_or_default();
                respond_text(req, 409, &text);
            }
        }
    }

    fn put_object(&self, mut req: Request, name: &str) {
        match read_body(&mut req, MAX_OBJECT_SIZE) {
            Ok(bytes) => {
                self.state().put_object(name, bytes);
                respond_text(req, 200, "{}");
            }
            Err(err) => respond_text(req, 413, &err.to_string()),
        }
    }

    fn get_object(&self, req: Request, name: &str) {
        let object = self.state().get_object(name);
        match object {
            Some(bytes) => {
                let _ = req.respond(Response::from_data(bytes));
            }
            None => respond_text(req, 404, "no such object"),
        }
    }

    fn put_host(&self, mut req: Request, name: &str) {
        match parse_body::<HostEntry>(&mut req) {
            Some(entry) => {
                self.state().set_host(name, Some(entry));
                respond_text(req, 200, "{}");
            }
            None => respond_text(req, 400, "the body is not a host"),
        }
    }

    fn scan(&self, req: Request, table: &str, query: &str) {
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next().unwrap_or_default()
        };
        const DEFAULT_LIMIT: usize = 1000;
        let limit = param("limit").parse().unwrap_or(DEFAULT_LIMIT);
        let rows = self.state().scan(table, &param("prefix"), &param("after"), limit);
        respond_json(req, &rows);
    }
}

impl Handler for Platform {
    fn handle(&self, mut req: Request) {
        let url = req.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let parts: Vec<&str> = path.trim_start_matches('/').splitn(4, '/').collect();
        let control = matches!(parts[0], "faults" | "counts");
        if !control {
            let delay = self.state().response_delay();
            thread::sleep(delay);
        }
        if !control && self.state().check_outage() {
            return respond_text(req, 503, "the platform is down");
        }
        match (req.method().clone(), parts.as_slice()) {
            (Method::Get, ["tables", table, "rows", key]) => {
                let row = self.state().read(table, key);
                match row {
                    Some(row) => respond_json(req, &row),
                    None => respond_text(req, 404, "no such row"),
                }
            }
            (Method::Get, ["tables", table, "scan"]) => self.scan(req, table, query),
            (Method::Post, ["tables", table, "transact"]) => self.transact(req, table),
            (Method::Get, ["objects", name]) => self.get_object(req, name),
            (Method::Put, ["objects", name]) => self.put_object(req, name),
            (Method::Get, ["hosts"]) => {
                let hosts = self.state().hosts();
                respond_json(req, &hosts);
            }
            (Method::Put, ["hosts", name]) => self.put_host(req, name),
            (Method::Delete, ["hosts", name]) => {
                self.state().set_host(name, None);
                respond_text(req, 200, "{}");
            }
            (Method::Post, ["faults"]) => match parse_body::<PlatformFault>(&mut req) {
                Some(fault) => {
                    self.state().inject(fault);
                    respond_text(req, 200, "{}");
                }
                None => respond_text(req, 400, "the body is not a fault"),
            },
            (Method::Get, ["counts"]) => {
                let counts = self.state().counts;
                respond_json(req, &counts);
            }
            _ => respond_text(req, 404, "no such path"),
        }
    }
}
