//! Finds out whether an endpoint crashed, and which requests may have caused it.
//!
//! A request that breaks off does not show whether its endpoint crashed: its connection may have been
//! reset, or this host may be cut off from all endpoints. A crash is confirmed when the endpoint accepts no
//! connection although another one does, or when it is no longer listed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::assignment;
use camphorloft_dispatch::crash_suspects::REFUSE_AT;
use camphorloft_dispatch::prelude::*;
use camphorloft_dispatch::reachability;
use camphorloft_peer::updates::Updates;
use camphorloft_peer::wire::{WireFeatureCrash, WireFinishedFeature};
use camphorloft_types::prelude::*;
use rand::Rng;
use slog::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::boundary::{Registry, Wire};
use crate::call::Call;
use crate::connecting::probe_endpoint;
use crate::context::{Host, State};

/// Time from the interruption of a request to the check of its endpoint, in which the other requests
/// that a crash interrupts break off too.
const CHECK_DELAY: Duration = Duration::from_millis(20);
/// Maximum random delay before this host tells others that a feature is sound. Many hosts may know that,
/// and one is enough.
const MAX_REFUTATION_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of crashes in one repeated announcement.
const MAX_ANNOUNCED: usize = 128;
/// Number of hosts that announce known crashes repeatedly, to hosts that have started since.
const ANNOUNCING_HOSTS: usize = 3;
/// Name of that task, as input to the assignment.
const ANNOUNCE_TASK: &str = "crashes";

impl<W, R> Host<W, R>
where
    W: Wire,
    R: Registry,
{
    /// Records that a call was interrupted at an endpoint, and checks whether the endpoint crashed.
    pub fn record_broken_request(self: &Rc<Self>, call: &Call, ix: EndpointIx) {
        let may_begin = {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = state.fleet.get_mut(ix) else { return };
            endpoint.record_broken_request(&call.features, Instant::now());
            endpoint.begin_crash_check()
        };
        if may_begin {
            spawn_local(check(self.clone(), ix));
        }
    }
}

impl<W, R> Host<W, R> {
    /// Records that a call finished, so that its features do not crash endpoints.
    pub fn record_finished(&self, call: &Call) {
        let now = Instant::now();
        for feature in call.features.iter() {
            let was_suspected =
                self.state.borrow_mut().crash_suspects.record_finished(*feature, now);
            if was_suspected {
                info!(self.log, "feature of requests is sound"; "feature" => %feature,
                    "call" => %call.id, "source" => "response");
                self.schedule_refutation(*feature, now);
            }
        }
    }

    /// Records that requests with a feature finish on another host.
    pub fn receive_finished(&self, wire: &WireFinishedFeature, now: Instant) {
        let feature = RequestFeature(wire.feature);
        let mut state = self.state.borrow_mut();
        state.refutations.remove(&feature);
        let at = aged(now, wire.age_ms);
        if state.crash_suspects.record_finished(feature, at) {
            info!(self.log, "feature of requests is sound"; "feature" => %feature,
                "source" => "host");
        }
    }

    /// Records a crash that another host confirmed.
    pub fn receive_crash(&self, wire: &WireFeatureCrash, now: Instant) {
        let feature = RequestFeature(wire.feature);
        let crash = FeatureCrash { feature, endpoint: wire.endpoint, at: aged(now, wire.age_ms) };
        self.record_crash(crash, "host", now);
    }

    fn record_crash(&self, crash: FeatureCrash, source: &str, now: Instant) -> CrashRecord {
        let (record, crashes, endpoint) = {
            let mut guard = self.state.borrow_mut();
            let State { fleet, crash_suspects, .. } = &mut *guard;
            let record = crash_suspects.record_crash(crash);
            let endpoint = fleet.find_digest(crash.endpoint).and_then(|ix| fleet.get(ix));
            let name = endpoint.map(|endpoint| endpoint.entry.name.to_string());
            (record, crash_suspects.crashes(crash.feature), name)
        };
        match record {
            CrashRecord::New => {
                info!(self.log, "crash attributed to request"; "endpoint" => endpoint,
                    "feature" => %crash.feature, "crashes" => crashes, "source" => source);
                if crashes == REFUSE_AT {
                    warn!(self.log, "requests with a feature are refused";
                        "feature" => %crash.feature, "crashes" => crashes);
                }
            }
            CrashRecord::Refuted => self.schedule_refutation(crash.feature, now),
            CrashRecord::Ignored => {}
        }
        record
    }

    fn schedule_refutation(&self, feature: RequestFeature, now: Instant) {
        let mut state = self.state.borrow_mut();
        let delay = MAX_REFUTATION_DELAY.mul_f64(state.rng.random::<f64>());
        state.refutations.entry(feature).or_insert(now + delay);
    }

    /// Returns true if another endpoint was reached after `since`, so that this host is not cut off.
    fn others_reached_since(&self, ix: EndpointIx, since: Instant) -> bool {
        let state = self.state.borrow();
        state.fleet.iter().any(|(other, endpoint)| {
            other != ix && endpoint.reached_at.is_some_and(|at| at > since)
        })
    }

    /// Attributes a crash to the requests that were interrupted at an endpoint that accepts no connection,
    /// if this host reached another endpoint since over its own links.
    pub fn confirm_crash(&self, ix: EndpointIx, now: Instant) {
        let broken_at = self.state.borrow().fleet.get(ix).and_then(Endpoint::last_broken_at);
        let Some(broken_at) = broken_at else { return };
        let is_cut_off = self.state.borrow().reachability.is_cut_off();
        if !is_cut_off && self.others_reached_since(ix, broken_at) {
            self.attribute_crash(ix, now);
        }
    }

    /// Attributes the crash of an endpoint to the requests that were interrupted on it just before, and
    /// tells the other hosts.
    pub fn attribute_crash(&self, ix: EndpointIx, now: Instant) {
        let (endpoint, features) = {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = state.fleet.get_mut(ix) else { return };
            (endpoint.digest, endpoint.take_crash_suspects(now))
        };
        let crashes =
            features.into_iter().map(|feature| FeatureCrash { feature, endpoint, at: now });
        let new: Vec<FeatureCrash> = crashes
            .filter(|crash| self.record_crash(*crash, "own", now) == CrashRecord::New)
            .collect();
        self.announce_crashes(&new, now);
    }

    fn announce_crashes(&self, crashes: &[FeatureCrash], now: Instant) {
        if crashes.is_empty() {
            return;
        }
        let to_wire = |crash: &FeatureCrash| WireFeatureCrash {
            feature: crash.feature.0,
            endpoint: crash.endpoint,
            age_ms: age_ms(crash.at, now),
        };
        let crashes = crashes.iter().map(to_wire).collect();
        self.distribute_to_all(Updates { crashes, ..Updates::default() }, now);
    }

    /// Announces that features are sound, as far as that is due.
    pub fn send_refutations(&self, now: Instant) {
        let finished: Vec<WireFinishedFeature> = {
            let mut guard = self.state.borrow_mut();
            let State { refutations, crash_suspects, .. } = &mut *guard;
            let is_due = |feature: &RequestFeature| refutations[feature] <= now;
            let due: Vec<_> = refutations.keys().copied().filter(is_due).collect();
            refutations.retain(|_, at| *at > now);
            let to_wire = |feature: RequestFeature| {
                let at = crash_suspects.finished_at(feature)?;
                Some(WireFinishedFeature { feature: feature.0, age_ms: age_ms(at, now) })
            };
            due.into_iter().filter_map(to_wire).collect()
        };
        if !finished.is_empty() {
            self.distribute_to_all(Updates { finished, ..Updates::default() }, now);
        }
    }

    /// Announces the known crashes again, if this is one of the hosts that do so.
    pub fn announce_crashes_again(&self, now: Instant) {
        let crashes = {
            let state = self.state.borrow();
            let hosts = state.peers.live().map(|member| &member.host);
            let rank = assignment::rank(ANNOUNCE_TASK, &self.settings.host, hosts);
            if rank >= ANNOUNCING_HOSTS {
                return;
            }
            state.crash_suspects.repeated(MAX_ANNOUNCED)
        };
        self.announce_crashes(&crashes, now);
    }

    /// Returns true if a call has features that crash endpoints, so that it must not be sent.
    pub fn crashes_endpoints(&self, call: &Call) -> bool {
        if call.is_probe.get() {
            return false;
        }
        let mut guard = self.state.borrow_mut();
        let State { crash_suspects, peers, .. } = &mut *guard;
        let Some(group) = crash_suspects.find_refused(&call.features) else { return false };
        let (group, crashes) = (group.to_vec(), crash_suspects.crashes(group[0]));
        let features: Vec<String> = group.iter().map(ToString::to_string).collect();
        let hosts = peers.live().map(|member| &member.host);
        let is_prober = assignment::is_assigned(&features[0], &self.settings.host, hosts);
        let is_probe = is_prober && crash_suspects.begin_probe(&group, Instant::now());
        info!(self.log, "request has features that crash endpoints"; "call" => %call.id,
            "features" => features.join(","), "crashes" => crashes, "sent" => is_probe);
        call.is_probe.set(is_probe);
        !is_probe
    }

    /// Returns true if a call that an endpoint interrupted may be sent to another one.
    pub fn may_resend(&self, call: &Call) -> bool {
        let may_resend = self.state.borrow().crash_suspects.may_resend(&call.features);
        if !may_resend {
            info!(self.log, "interrupted request is suspected to crash endpoints";
                "call" => %call.id, "parts" => call.parts_text());
        }
        may_resend
    }
}

/// Checks whether an endpoint that interrupted requests crashed, and attributes the crash.
async fn check<W, R>(cx: Rc<Host<W, R>>, ix: EndpointIx)
where
    W: Wire,
    R: Registry,
{
    sleep(CHECK_DELAY).await;
    let has_crashed = has_crashed(&cx, ix).await;
    if let Some(endpoint) = cx.state.borrow_mut().fleet.get_mut(ix) {
        endpoint.end_crash_check();
    }
    if has_crashed {
        cx.attribute_crash(ix, Instant::now());
    }
}

/// Returns true if an endpoint accepts no connection although this host, or the one through which it
/// connects, reaches another endpoint.
async fn has_crashed<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx) -> bool
where
    W: Wire,
    R: Registry,
{
    let broken_at = cx.state.borrow().fleet.get(ix).and_then(Endpoint::last_broken_at);
    let (Some(broken_at), false) = (broken_at, probe_endpoint(cx, ix).await) else { return false };
    let is_cut_off = || cx.state.borrow().reachability.is_cut_off();
    if !is_cut_off() && !cx.others_reached_since(ix, broken_at) && !reaches_another(cx, ix).await {
        info!(cx.log, "crash not confirmed"; "endpoint" => endpoint_name(cx, ix));
        return false;
    }
    // What a cut-off host has found out over its own links says nothing about the endpoint.
    !is_cut_off() || !probe_endpoint(cx, ix).await
}

/// Returns true if an endpoint other than `ix` accepts a connection.
async fn reaches_another<W, R>(cx: &Rc<Host<W, R>>, ix: EndpointIx) -> bool
where
    W: Wire,
    R: Registry,
{
    let witnesses = {
        let state = cx.state.borrow();
        reachability::witnesses(&state.fleet, &state.reachability, ix, Instant::now())
    };
    for witness in witnesses {
        if probe_endpoint(cx, witness).await {
            return true;
        }
    }
    false
}

pub(crate) fn endpoint_name<W, R>(cx: &Host<W, R>, ix: EndpointIx) -> Option<String> {
    cx.state.borrow().fleet.get(ix).map(|endpoint| endpoint.entry.name.to_string())
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time `age_ms` before `now`, or `now` if the clock does not reach back that far.
fn aged(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(age_ms))).unwrap_or(now)
}
