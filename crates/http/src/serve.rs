//! Runs one thread with a small stack per request in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::problem::Problem;

/// Stack size of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 * 1024;
/// Interval between checks of the stop flag.
const STOP_POLL: Duration = Duration::from_millis(100);
/// Time after which a client may retry when the limit of requests in flight is reached.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Serves one request and sends the response.
    fn handle(&self, req: Request);
}

/// Counter of the requests in flight on one server.
pub type InFlightCount = Arc<AtomicUsize>;

/// Accepts requests until `stop` is set. Requests in flight continue; `in_flight` counts them.
///
/// Requests beyond `max_in_flight` are rejected with status 503.
pub fn serve<H>(
    server: &Server,
    handler: &Arc<H>,
    stop: &AtomicBool,
    in_flight: &InFlightCount,
    max_in_flight: usize,
) where
    H: Handler,
{
    while !stop.load(Ordering::Relaxed) {
        let Ok(Some(req)) = server.recv_timeout(STOP_POLL) else { continue };
        if in_flight.load(Ordering::Relaxed) >= max_in_flight {
            reject(req);
            continue;
        }
        spawn_request(handler.clone(), in_flight.clone(), req);
    }
}

fn reject(req: Request) {
    let problem = Problem::not_run(503, "too_many_requests_in_flight", "the host is full");
    problem.retry_after(OVERLOAD_RETRY_AFTER).respond(req);
}

fn spawn_request<H>(handler: Arc<H>, in_flight: Arc<AtomicUsize>, req: Request)
where
    H: Handler,
{
    let guard = InFlightGuard::new(in_flight);
    let run = move || {
        handler.handle(req);
        drop(guard);
    };
    // When the thread cannot be started, `req` is dropped and the server library responds with 500.
    let _ = thread::Builder::new().stack_size(REQUEST_STACK_BYTES).spawn(run);
}

/// Counts a request as in flight until the guard is dropped, also when its handler panics.
struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    fn new(counter: Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
