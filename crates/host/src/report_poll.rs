//! Polls engines for load reports.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use http::StatusCode;
use slog::debug;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::boundary::{Registry, Wire};
use crate::context::Host;
use crate::upstream::connect;

/// Interval between two reports of an engine. Each report is billed, and is already some hundred
/// milliseconds old when it arrives.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval while the endpoint list is not confirmed to be complete. Reports are then the only
/// indication that an engine is draining.
const STALE_LIST_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a report request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Assumed age of a report when it arrives, excluding network latency. Engines state that it is
/// some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Age of the last report, multiplied by a host's rank among the stand-ins of the assigned poller, at
/// which the host polls the engine itself. Several reports are then missing.
const MISSED_REPORT_AGE: Duration = Duration::from_millis(1900);
/// Maximum interval between two reports of an engine that limits requests. Reports expire after 3 s.
const MAX_LIMITED_INTERVAL: Duration = Duration::from_millis(2500);
/// Maximum size of the response to a request for an engine's speed.
const MAX_HEALTH_BYTES: usize = 16 << 10;
/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Polls engines continuously.
pub async fn poll_all<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    loop {
        let engines = engines_to_poll(&cx);
        let interval =
            if cx.is_list_current() { REPORT_INTERVAL } else { STALE_LIST_REPORT_INTERVAL };
        let pause = interval / engines.len().max(1) as u32;
        if engines.is_empty() {
            sleep(interval).await;
        }
        for (ix, entry) in engines {
            if let Some(path) = probe_path(&cx, ix) {
                spawn_local(probe_speed(cx.clone(), ix, entry.clone(), path));
            }
            spawn_local(poll(cx.clone(), ix, entry));
            sleep(pause).await;
        }
    }
}

/// Returns how old the last report of an engine may be before the host polls the engine. `rank` is
/// that of the host among those of its region. `is_near` is true for an engine of its region; engines
/// of other regions are polled by hosts there, so those of this region only stand in.
///
/// One host of each region after the other stands in when reports stop. If all of a large fleet did at
/// once, the loss of one poller would cause thousands of requests.
///
/// ```
/// use camphorloft_host::report_poll::max_report_age;
/// assert!(max_report_age(0, true).is_zero());
/// assert!(!max_report_age(0, false).is_zero());
/// assert!(max_report_age(2, true) > max_report_age(1, true));
/// ```
pub fn max_report_age(rank: usize, is_near: bool) -> Duration {
    let position = rank.saturating_add(usize::from(!is_near));
    MISSED_REPORT_AGE.saturating_mul(u32::try_from(position).unwrap_or(u32::MAX))
}

/// Returns the interval between two reports of an engine that limits requests.
///
/// ```
/// use camphorloft_host::report_poll::limited_report_interval;
/// let interval = |rate: &str| limited_report_interval(rate.parse().unwrap());
/// assert!(interval("0") > interval("5"));
/// ```
pub fn limited_report_interval(rate: RequestRate) -> Duration {
    const MIN_SHARE: f64 = 0.25;
    let interval = 1.0 / (rate.per_second() * MIN_SHARE);
    Duration::try_from_secs_f64(interval).map_or(MAX_LIMITED_INTERVAL, |interval| {
        interval.clamp(REPORT_INTERVAL, MAX_LIMITED_INTERVAL)
    })
}

/// Returns the engines that this host polls: those of its region that it is the assigned poller of,
/// and those for which it stands in.
fn engines_to_poll<W, R>(cx: &Rc<Host<W, R>>) -> Vec<(EndpointIx, EndpointEntry)> {
    let Some(serving) = cx.serving() else { return Vec::new() };
    let state = cx.state.borrow();
    let now = Instant::now();
    let generates = |service: &ServiceName| {
        serving.services.values().any(|known| known.name == *service && known.engine.is_some())
    };
    let engines = state.fleet.iter().filter(|(ix, endpoint)| {
        let of_interest = endpoint.is_ready() || !endpoint.runs.is_empty();
        // The list tells when an engine of an evacuated zone drains.
        let is_closed = endpoint.is_evacuated || endpoint.is_held_off(now);
        // A cold engine counts polls among the requests that it tolerates.
        let is_closed = is_closed
            || endpoint.is_cold_limited(now) && endpoint.request_limit.send_at(now) != Some(now);
        if !of_interest || is_closed || !generates(&endpoint.entry.service) {
            return false;
        }
        let is_near = endpoint.distance != Distance::Remote;
        let rank = match state.subset.is_limited(&endpoint.entry.service) {
            true => state.subset.rank(*ix),
            false => Some(state.peers.rank_in_region(endpoint.entry.name.as_str())),
        };
        let Some(rank) = rank else { return false };
        let max_age = max_report_age(rank, is_near);
        // An engine that limits requests is polled no more often than it accepts some.
        let limit = endpoint.request_limit.rate(now);
        let max_age = limit.map_or(max_age, |rate| max_age.max(limited_report_interval(rate)));
        max_age.is_zero() || endpoint.lacks_report(max_age, now)
    });
    engines.map(|(ix, endpoint)| (ix, endpoint.entry.clone())).collect()
}

/// Returns the path at which to ask an engine for its speed, if that is not known well and other
/// engines of the service state theirs. Other hosts receive what this one knows with the reports.
fn probe_path<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx) -> Option<Box<str>> {
    let now = Instant::now();
    let serving = cx.serving()?;
    let fleet = &mut cx.state.borrow_mut().fleet;
    let service = fleet.get(ix)?.entry.service.clone();
    fleet.stated_speed(&service, now)?;
    let path = serving.services.values().find(|s| s.name == service)?.health_path.clone()?;
    // Of an engine that limits requests, the responses to requests have to suffice.
    let may_ask = |e: &&mut Endpoint| {
        e.is_ready() && !e.is_held_off(now) && e.request_limit.rate(now).is_none()
    };
    let endpoint = fleet.get_mut(ix).filter(may_ask).filter(|e| e.speed.wants_probe(now))?;
    endpoint.speed.record_probe(now);
    Some(path)
}

/// Asks an engine for its speed.
async fn probe_speed<W, R>(cx: Rc<Host<W, R>>, ix: EndpointIx, entry: EndpointEntry, path: Box<str>)
where
    W: Wire,
    R: Registry,
{
    let req = cx.wire.health_request(&entry, &path);
    let call = async {
        let connected = connect(cx.settings.endpoint_addr(entry.addr), REPORT_TIMEOUT).await?;
        connected.fetch(req, MAX_HEALTH_BYTES).await
    };
    let result = match timeout(REPORT_TIMEOUT, call).await {
        Ok(Ok((head, _))) => {
            cx.record_own_call_directives(ix, &entry, &head);
            let pace = cx.wire.load_hint(&head).and_then(|hint| hint.pace_percent);
            let now = Instant::now();
            let fleet = &mut cx.state.borrow_mut().fleet;
            let same = fleet.get(ix).is_some_and(|e| e.entry.is_same_process(&entry));
            match pace.filter(|_| same) {
                Some(percent) => {
                    fleet.record_stated_pace(ix, percent, now);
                    "ok"
                }
                None => "not_understood",
            }
        }
        Ok(Err(err)) => {
            cx.record_invalid_response(ix, &err);
            debug!(cx.log, "engine speed unknown"; "endpoint" => %entry.name, "error" => %err);
            "failed"
        }
        Err(_) => "timeout",
    };
    cx.metrics.speed_probes.with_label_values(&[result]).inc();
}

async fn poll<W, R>(cx: Rc<Host<W, R>>, ix: EndpointIx, entry: EndpointEntry)
where
    W: Wire,
    R: Registry,
{
    cx.count_own_call(ix);
    let req = cx.wire.report_request(&entry);
    let call = async {
        let connected = connect(cx.settings.endpoint_addr(entry.addr), REPORT_TIMEOUT).await?;
        connected.fetch(req, MAX_REPORT_BYTES).await
    };
    let response = timeout(REPORT_TIMEOUT, call).await;
    let now = Instant::now();
    let result = match response {
        Ok(Ok((head, body))) => {
            cx.record_own_call_directives(ix, &entry, &head);
            let decoded = (head.status == StatusCode::OK).then(|| cx.wire.decode_report(&body));
            match decoded {
                Some(Ok(report)) => {
                    apply_and_send(&cx, ix, &entry, report, now);
                    "ok"
                }
                Some(Err(err)) => {
                    cx.invalid_inputs.record("report", entry.name.as_str(), &err);
                    "not_understood"
                }
                None => "not_understood",
            }
        }
        Ok(Err(err)) => {
            cx.record_invalid_response(ix, &err);
            debug!(cx.log, "engine report failed"; "endpoint" => %entry.name, "error" => %err);
            "failed"
        }
        Err(_) => "timeout",
    };
    cx.metrics.reports.with_label_values(&[result]).inc();
}

/// Records a report and sends it to other hosts, unless the endpoint has been replaced by another
/// process since the request.
fn apply_and_send<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    entry: &EndpointEntry,
    report: LoadReport,
    now: Instant,
) {
    let same = cx.state.borrow().fleet.get(ix).is_some_and(|e| e.entry.is_same_process(entry));
    if same {
        let as_of = now - REPORT_LAG;
        cx.apply_report(ix, report, as_of, "engine");
        cx.send_report(ix, &report, as_of);
    }
}
