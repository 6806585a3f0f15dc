//! Asks engines for their load.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::prelude::*;
use camphorloft_types::prelude::*;
use slog::{debug, info};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::boundary::{Registry, Wire};
use crate::context::Host;
use crate::upstream::connect;

/// Time between two reports of an engine. A report is paid for, and is some hundred milliseconds
/// old when it arrives.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time for a report to arrive.
const WITHIN: Duration = Duration::from_millis(400);
/// Age of a report when it arrives, beyond the way: engines say that it is some hundred
/// milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(400);
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
        let pause = INTERVAL / engines.len().max(1) as u32;
        if engines.is_empty() {
            sleep(INTERVAL).await;
        }
        for (ix, entry) in engines {
            spawn_local(poll(cx.clone(), ix, entry));
            sleep(pause).await;
        }
    }
}

/// Returns the engines that this host may place on, or has generations on.
fn engines<W, R>(cx: &Rc<Host<W, R>>) -> Vec<(EndpointIx, EndpointEntry)> {
    let Some(serving) = cx.serving() else { return Vec::new() };
    let state = cx.state.borrow();
    let generates = |service: &ServiceName| {
        serving.services.values().any(|known| known.name == *service && known.engine.is_some())
    };
    let engines = state.fleet.iter().filter(|(_, endpoint)| {
        let of_interest = endpoint.is_ready() || !endpoint.runs.is_empty();
        of_interest && generates(&endpoint.entry.service)
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
        connected.ask(req, MAX_REPORT_BYTES).await
    };
    let answer = timeout(WITHIN, asked).await;
    let now = Instant::now();
    let result = match answer {
        Ok(Ok((head, body))) => match cx.wire.read_report(head.status, &body) {
            Some(report) => {
                let news = take(&cx, ix, &entry, report, now);
                if news {
                    info!(cx.log, "endpoint changed"; "endpoint" => %entry.name,
                        "change" => "leaving", "source" => "report");
                    cx.fleet_changed();
                }
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

/// Takes a report, unless another process has the endpoint's place by now.
fn take<W, R>(
    cx: &Rc<Host<W, R>>,
    ix: EndpointIx,
    entry: &EndpointEntry,
    report: LoadReport,
    now: Instant,
) -> bool {
    let mut state = cx.state.borrow_mut();
    let same = state.fleet.get(ix).is_some_and(|e| e.entry.is_same_process(entry));
    same && state.fleet.report(ix, report, now - REPORT_LAG)
}
