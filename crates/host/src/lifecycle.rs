//! Startup, signal handling and shutdown.

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
use crate::queued_request::pass_queues;
use crate::settings::HostSettings;
use crate::{endpoint_watch, peer_link, report_poll, serving_watch, stall_monitor};

/// Time between two checks whether the last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of such checks in a row that find no request before the process ends. Connections that wait to be
/// accepted become known in between.
const DRAIN_IDLE_CHECKS: u32 = 3;
/// Time between two sweeps, which purge removed endpoints and log the host's state.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of concurrent probe connections per address.
const MAX_PROBE_CONNECTIONS: usize = 32;
/// Upper bound of the average number of file descriptors that a request uses besides the client's
/// connection.
const DESCRIPTORS_PER_CLIENT: usize = 2;

/// Waits until a draining host accepts no further requests.
pub async fn wait_for_accept_end<W, R>(cx: &Host<W, R>, stages: &mut watch::Receiver<Stage>) {
    loop {
        let stage = *stages.borrow_and_update();
        if let Stage::Draining { since } = stage {
            sleep_until((since + cx.accept_period()).into()).await;
            return;
        }
        if stages.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Runs a host until it has drained after SIGTERM or SIGINT, at the latest until shortly before the
/// end of the grace period. `read_settings` is called on SIGHUP.
/// Must be called within a local task set.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or a signal handler cannot be registered.
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
    let clients = start(&cx)?;
    info!(cx.log, "started"; "callers" => %cx.settings.clients, "zone" => %cx.settings.locality.zone,
        "region" => %cx.settings.locality.region, "version" => env!("CARGO_PKG_VERSION"));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match read_settings() {
                Ok(settings) => cx.reload(&settings),
                Err(err) => warn!(cx.log, "settings reload failed"; "error" => %err),
            },
        }
    }
    let signalled_at = Instant::now();
    cx.drain();
    cx.with_link(|link, out| link.leave(out));
    info!(cx.log, "draining"; "callers" => Rc::strong_count(&clients) - 1,
        "grace_ms" => cx.grace.get().as_millis() as u64);
    let deadline = cx.exit_at(signalled_at);
    sleep(cx.accept_period()).await;
    let is_busy = || Rc::strong_count(&clients) > 1 || cx.open_tunnels.get() > 0;
    let mut idle_checks = 0;
    while idle_checks < DRAIN_IDLE_CHECKS && Instant::now() < deadline {
        sleep(DRAIN_POLL_INTERVAL).await;
        idle_checks = if is_busy() { 0 } else { idle_checks + 1 };
    }
    let open = Rc::strong_count(&clients) - 1 + cx.open_tunnels.get();
    if open > 0 {
        warn!(cx.log, "stopped with open connections"; "connections" => open);
    }
    info!(cx.log, "stopped"; "took_ms" => signalled_at.elapsed().as_millis() as u64);
    Ok(())
}

/// Starts the listeners and background tasks of a host. Returns a counter of client connections: each
/// open connection holds a clone of it. Must be called within a local task set.
///
/// # Errors
///
/// Returns an error when an address cannot be bound, for example because it is in use.
pub fn start<W, R>(cx: &Rc<Host<W, R>>) -> io::Result<Rc<()>>
where
    W: Wire,
    R: Registry,
{
    let clients = Rc::new(());
    let listener = bind(cx.settings.clients)?;
    let (host, open) = (cx.clone(), clients.clone());
    let max_clients = cx.settings.max_connections / (1 + DESCRIPTORS_PER_CLIENT);
    let connections = cx.client_connections.clone();
    let make_room = move || connections.close_longest_idle(Instant::now());
    let serve = move |stream| {
        let (host, open) = (host.clone(), open.clone());
        async move {
            serve_client(host, stream).await;
            drop(open);
        }
    };
    spawn_local(accept_loop(cx.clone(), listener, max_clients, serve, make_room));
    for (addr, probe) in
        [(cx.settings.readiness, Probe::Readiness), (cx.settings.metrics, Probe::Metrics)]
    {
        let host = cx.clone();
        let serve = move |stream| serve_probe(host.clone(), probe, stream);
        let listener = bind(addr)?;
        spawn_local(accept_loop(cx.clone(), listener, MAX_PROBE_CONNECTIONS, serve, || false));
    }
    spawn_local(serving_watch::follow(cx.clone()));
    spawn_local(endpoint_watch::follow(cx.clone()));
    spawn_local(report_poll::poll_all(cx.clone()));
    spawn_local(peer_link::run(cx.clone()));
    spawn_local(sweep(cx.clone()));
    spawn_local(watch_stalls(cx.clone()));
    if cx.settings.prioritised {
        spawn_local(pass_queues(cx.clone()));
    }
    Ok(clients)
}

async fn watch_stalls<W, R>(cx: Rc<Host<W, R>>) {
    loop {
        cx.stalls.tick(Instant::now());
        sleep(stall_monitor::TICK).await;
    }
}

async fn sweep<W, R>(cx: Rc<Host<W, R>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        cx.purge_removed_endpoints();
        log_state(&cx);
    }
}

/// Logs a periodic summary of the host's state, to help reconstruct a given point in time.
fn log_state<W, R>(cx: &Rc<Host<W, R>>) {
    const BYTES_PER_KB: u64 = 1000;
    let now = Instant::now();
    let calls = cx.metrics.registry_call_counts();
    let version = cx.serving().map(|serving| serving.version.to_string());
    let reads = cx.registry_read_scope(now).is_some();
    let list_age = cx.list_read_at.get().map(|at| (now - at).as_millis() as u64);
    let state = cx.state.borrow();
    let traffic = state.peers.link_counts();
    let ready = state.fleet.iter().filter(|(_, endpoint)| endpoint.is_ready()).count();
    let ready_ones = state.fleet.iter().filter(|(_, endpoint)| endpoint.is_ready());
    let backed_off = ready_ones.filter(|(_, e)| e.health.is_backed_off(now)).count();
    info!(cx.log, "state"; "version" => version, "endpoints_ready" => ready,
        "endpoints_backed_off" => backed_off, "cut_off" => state.reachability.is_cut_off(),
        "tunnels" => cx.open_tunnels.get(), "evacuated" => state.fleet.evacuations().zones().len(),
        "hosts_live" => state.peers.live().count() + 1, "reads_registry" => reads,
        "list_age_ms" => list_age, "peer_kb_out" => traffic.bytes_out / BYTES_PER_KB,
        "peer_kb_out_remote" => traffic.remote_bytes_out / BYTES_PER_KB,
        "datagrams_dropped" => traffic.dropped,
        "registry_calls" => calls);
}
