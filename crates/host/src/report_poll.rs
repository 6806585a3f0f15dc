//! Asks engines for their load.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use slog::debug;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::boundary::{Registry, Wire};
use crate::context::Host;
use crate::upstream::connect;

/// Time between two reports of an engine. A report is paid for, and is some hundred milliseconds
/// old when it arrives.
const INTERVAL: Duration = Duration::from_millis(500);
/// The same while the endpoint list is not known to be complete: reports are then the only notice
/// of an engine that leaves.
const BLIND_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a report to arrive.
const WITHIN: Duration = Duration::from_millis(400);
/// Age of a report when it arrives, beyond the way: engines say that it is some hundred
/// milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(400);
/// Age of a report at which a host asks by itself: several of another host's were lost.
const MISSED_AGE: Duration = Duration::from_millis(1900);
/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Asks all engines for their load, again and again.
pub async fn poll_all<W, R>(cx: Rc<Host<W, R>>)
where
    W: Wire,
    R: Registry,
{
    loop {
        let engines = engines(&cx);
        let interval = if cx.list_is_known() { INTERVAL } else { BLIND_INTERVAL };
        let pause = interval / engines.len().max(1) as u32;
        if engines.is_empty() {
            sleep(interval).await;
        }
        for (ix, entry) in engines {
            spawn_local(poll(cx.clone(), ix, entry));
            sleep(pause).await;
        }
    }
}

/// Returns the engines that this host asks: those of its region that are its duty, and any whose
/// reports do not arrive.
fn engines<W, R>(cx: &Rc<Host<W, R>>) -> Vec<(EndpointIx, EndpointEntry)> {
    let Some(serving) = cx.serving() else { return Vec::new() };
    let state = cx.state.borrow();
    let now = Instant::now();
    let generates = |service: &ServiceName| {
        serving.services.values().any(|known| known.name == *service && known.engine.is_some())
    };
    let engines = state.fleet.iter().filter(|(_, endpoint)| {
        let of_interest = endpoint.is_ready() || !endpoint.runs.is_empty();
        if !of_interest || !generates(&endpoint.entry.service) {
            return false;
        }
        let near = endpoint.distance != Distance::Remote;
        let duty = near && state.peers.holds_duty(endpoint.entry.name.as_str());
        duty || endpoint.lacks_report(MISSED_AGE, now)
    });
    engines.map(|(ix, endpoint)| (ix, endpoint.entry.clone())).collect()
}

async fn poll<W, R>(cx: Rc<Host<W, R>>, ix: EndpointIx, entry: EndpointEntry)
where
    W: Wire,
    R: Registry,
{
    let req = cx.wire.report_request(&entry);
    let asked = async {
        let mut connected = connect(entry.addr, WITHIN).await?;
        connected.fetch(req, MAX_REPORT_BYTES).await
    };
    let answer = timeout(WITHIN, asked).await;
    let now = Instant::now();
    let result = match answer {
        Ok(Ok((head, body))) => match cx.wire.read_report(head.status, &body) {
            Some(report) => {
                take(&cx, ix, &entry, report, now);
                "ok"
            }
            None => "not_understood",
        },
        Ok(Err(err)) => {
            debug!(cx.log, "no report"; "endpoint" => %entry.name, "error" => %err);
            "failed"
        }
        Err(_) => "timeout",
    };
    cx.metrics.reports.with_label_values(&[result]).inc();
}

/// Takes a report, unless another process has the endpoint's place by now, and tells others.
fn take<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    entry: &EndpointEntry,
    report: LoadReport,
    now: Instant,
) {
    let same = cx.state.borrow().fleet.get(ix).is_some_and(|e| e.entry.is_same_process(entry));
    if same {
        let as_of = now - REPORT_LAG;
        cx.take_report(ix, report, as_of, "engine");
        cx.tell_report(ix, &report, as_of);
    }
}
