//! Start, signals and the end of the process.

use std::fmt::Display;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::boundary::{Registry, Wire};
use crate::context::{Host, Stage};
use crate::listener::{accept_loop, bind, serve_client};
use crate::probes::{Probe, serve_probe};
use crate::settings::HostSettings;
use crate::{endpoint_watch, peer_link, report_poll, serving_watch};

/// Time after the signal after which idle connections are closed: the balancer has noticed by
/// then that the host is not ready.
const INTAKE_AFTER_SIGNAL: Duration = Duration::from_millis(2500);
/// Time before the end of the grace period at which the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Time between two looks whether the last request has ended.
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// Time between two sweeps of what is no longer needed.
const SWEEP_STEP: Duration = Duration::from_secs(5);
/// Connections of probes that are open at a time.
const MAX_PROBE_CONNECTIONS: usize = 32;
/// Descriptors that a request needs beside the caller's connection, at most, on average.
const DESCRIPTORS_PER_CALLER: usize = 2;

/// Waits until a draining host takes no further requests.
pub async fn end_of_intake(stages: &mut watch::Receiver<Stage>) {
    loop {
        let stage = *stages.borrow_and_update();
        if let Stage::Draining { since } = stage {
            sleep_until((since + INTAKE_AFTER_SIGNAL).into()).await;
            return;
        }
        if stages.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Runs a host until it has drained after a signal. `read_settings` is called when the process is
/// told that its settings changed. Must be called within a local task set.
///
/// # Errors
///
/// Returns the error of listening or of registering the signal handlers.
pub async fn run<W, R, ReadSettings, Failed>(
    cx: Rc<Host<W, R>>,
    read_settings: ReadSettings,
) -> io::Result<()>
where
    W: Wire,
    R: Registry,
    ReadSettings: Fn() -> Result<HostSettings, Failed>,
    Failed: Display,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let callers = start(&cx)?;
    info!(cx.log, "started"; "callers" => %cx.settings.callers, "zone" => %cx.settings.locality.zone,
        "region" => %cx.settings.locality.region, "version" => env!("CARGO_PKG_VERSION"));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match read_settings() {
                Ok(settings) => cx.reload(&settings),
                Err(err) => warn!(cx.log, "settings not reloaded"; "error" => %err),
            },
        }
    }
    let began = Instant::now();
    cx.drain();
    cx.with_link(|link, out| link.leave(out));
    info!(cx.log, "draining"; "callers" => Rc::strong_count(&callers) - 1,
        "grace_ms" => cx.grace.get().as_millis() as u64);
    let by = began + cx.grace.get().saturating_sub(GRACE_MARGIN);
    sleep(INTAKE_AFTER_SIGNAL.min(cx.grace.get() / 2)).await;
    while Rc::strong_count(&callers) > 1 && Instant::now() < by {
        sleep(DRAIN_STEP).await;
    }
    let cut = Rc::strong_count(&callers) - 1;
    if cut > 0 {
        warn!(cx.log, "stopped with open connections"; "connections" => cut);
    }
    info!(cx.log, "stopped"; "took_ms" => began.elapsed().as_millis() as u64);
    Ok(())
}

/// Starts everything that a host does. Returns what each connection of a caller holds. Must be
/// called within a local task set.
///
/// # Errors
///
/// Returns the error of listening, as when an address is in use.
pub fn start<W, R>(cx: &Rc<Host<W, R>>) -> io::Result<Rc<()>>
where
    W: Wire,
    R: Registry,
{
    let callers = Rc::new(());
    let listener = bind(cx.settings.callers)?;
    let (host, open) = (cx.clone(), callers.clone());
    let most = cx.settings.max_connections / (1 + DESCRIPTORS_PER_CALLER);
    spawn_local(accept_loop(cx.clone(), listener, most, move |stream| {
        let (host, open) = (host.clone(), open.clone());
        async move {
            serve_client(host, stream).await;
            drop(open);
        }
    }));
    for (addr, probe) in
        [(cx.settings.readiness, Probe::Readiness), (cx.settings.metrics, Probe::Metrics)]
    {
        let host = cx.clone();
        let serve = move |stream| serve_probe(host.clone(), probe, stream);
        spawn_local(accept_loop(cx.clone(), bind(addr)?, MAX_PROBE_CONNECTIONS, serve));
    }
    spawn_local(serving_watch::follow(cx.clone()));
    spawn_local(endpoint_watch::follow(cx.clone()));
    spawn_local(report_poll::poll_all(cx.clone()));
    spawn_local(peer_link::run(cx.clone()));
    spawn_local(sweep(cx.clone()));
    Ok(callers)
}

async fn sweep<W, R>(cx: Rc<Host<W, R>>) {
    loop {
        sleep(SWEEP_STEP).await;
        cx.collect_endpoints();
        log_state(&cx);
    }
}

/// Logs what the host believes, for those who look at one moment of a day.
fn log_state<W, R>(cx: &Rc<Host<W, R>>) {
    let now = Instant::now();
    let calls = cx.metrics.registry_call_counts();
    let version = cx.serving().map(|serving| serving.version.to_string());
    let reads = cx.reads_registry_for(now).is_some();
    let list_age = cx.list_read_at.get().map(|at| (now - at).as_millis() as u64);
    let state = cx.state.borrow();
    let ready = state.fleet.iter().filter(|(_, endpoint)| endpoint.is_ready()).count();
    info!(cx.log, "state"; "version" => version, "endpoints_ready" => ready,
        "hosts_live" => state.peers.live().count() + 1, "reads_registry" => reads,
        "list_age_ms" => list_age,
        "registry_calls" => calls);
}
