//! Runs one small-stack thread per request in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::problem::Problem;

/// Stack of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 256 * 1024;
/// Time between two looks at the stop flag.
const STOP_POLL: Duration = Duration::from_millis(100);
/// Time after which a caller may try again when threads run out.
const THREADS_RETRY: Duration = Duration::from_secs(1);

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Serves one request and answers it.
    fn handle(&self, req: Request);
}

/// Counts the requests in flight of one server.
pub type InFlightCount = Arc<AtomicUsize>;

/// Accepts requests until `stop` is set. Requests in flight go on; `in_flight` counts them.
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
            refuse(req);
            continue;
        }
        spawn_request(handler.clone(), in_flight.clone(), req);
    }
}

fn refuse(req: Request) {
    let problem = Problem::not_run(503, "too_many_requests_in_flight", "the host is full");
    problem.retry_after(THREADS_RETRY).respond(req);
}

fn spawn_request<H>(handler: Arc<H>, in_flight: Arc<AtomicUsize>, req: Request)
where
    H: Handler,
{
    let guard = InFlight::enter(in_flight);
    let run = move || {
        handler.handle(req);
        drop(guard);
    };
    // A thread that cannot start drops the request, which the server library answers with 500.
    let _ = thread::Builder::new().stack_size(REQUEST_STACK_BYTES).spawn(run);
}

/// Counts a request until it is dropped, also when its handler panics.
struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    fn enter(counter: Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
