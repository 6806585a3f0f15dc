//! Requests that wait for an endpoint in the order of their priority.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_dispatch::admission_queue;
use camphorloft_dispatch::prelude::*;
use camphorloft_serving::prelude::{EngineSpec, ServingSet};
use camphorloft_types::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::call::Call;
use crate::context::{Host, State};
use crate::residency::residency_of;
use crate::sending::{Admitted, SendReservation};

/// Minimum time between two passes over the queues. Several reports and ends of runs arrive within
/// it on a busy host.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time between two passes while generations wait: estimates of loads and the times left
/// change without any event.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Decision on a queued generation.
#[derive(Debug)]
struct Decision {
    admission: Admission,
    /// What is recorded of the request, if it starts.
    admitted: Option<Admitted>,
}

/// A generation in the queue of its service.
#[derive(Debug)]
pub struct Waiter {
    call: Rc<Call>,
    tried: Vec<EndpointIx>,
    software: Option<SoftwareVersion>,
    /// What is recorded of the request, once it is admitted.
    admitted: Cell<Option<Admitted>>,
    tx: oneshot::Sender<Decision>,
}

/// The queue of each service.
pub type Queues = BTreeMap<ServiceName, AdmissionQueue<Waiter>>;

/// The engines of a service as seen by this host.
struct HostEngines<'a> {
    fleet: &'a mut Fleet,
    rng: &'a mut SmallRng,
    service: &'a ServiceName,
    /// Specification of the engines; `None` for a plain service.
    spec: Option<&'a EngineSpec>,
    /// Configuration version in force, which may restrict requests that wait.
    in_force: Option<&'a Rc<ServingSet>>,
    /// Engines that are left to other hosts for the moment.
    excluded: Vec<EndpointIx>,
    completions: Completions,
    now: Instant,
}

impl Engines<Waiter> for HostEngines<'_> {
    fn admit(&mut self, work: &QueuedWork, waiter: &Waiter, terms: &AdmissionTerms) -> Admission {
        let residency = residency_of(&waiter.call, self.in_force);
        let candidates = Candidates {
            residency: &residency,
            tried: &waiter.tried,
            software: waiter.software.as_ref(),
            max_delay: Duration::ZERO,
        };
        let Some(spec) = self.spec else {
            let candidates = Candidates { max_delay: terms.max_delay, ..candidates };
            let (service, now) = (self.service, self.now);
            let admission =
                admission_queue::admit_call(self.fleet, service, &candidates, now, self.rng);
            if let Admission::Start(choice) = &admission {
                let is_counted = self.fleet.reserve_send(choice.endpoint, now);
                self.fleet.begin_reservation(choice.endpoint);
                waiter.admitted.set(Some(Admitted { run: None, placed_at: now, is_counted }));
            }
            return admission;
        };
        let pool = Pool { fleet: self.fleet, service: self.service, spec };
        let admission = admission_queue::admit(
            &pool,
            work,
            &candidates,
            terms.excluded(&self.excluded),
            terms,
            self.now,
            self.rng,
        );
        if let Admission::Start(choice) = &admission {
            let call = &waiter.call.id;
            let placed_at = self.now;
            let (run, is_counted) =
                self.fleet.reserve_run(choice.endpoint, call, &work.demand, placed_at);
            waiter.admitted.set(Some(Admitted { run: Some(run), placed_at, is_counted }));
        }
        admission
    }

    fn freed_per_second(&mut self) -> f64 {
        let Some(spec) = self.spec else {
            return Completions::calls_per_second(self.fleet, self.service, self.now);
        };
        let pool = Pool { fleet: self.fleet, service: self.service, spec };
        self.completions.freed_per_second(&pool, self.now)
    }

    fn draw(&mut self) -> f64 {
        self.rng.random()
    }
}

/// A generation in the queue, until dropped.
#[derive(Debug)]
pub struct QueuedRequest<W, R> {
    cx: Rc<Host<W, R>>,
    call: Rc<Call>,
    ticket: Ticket,
    priority: u8,
    entered_at: Instant,
    rx: oneshot::Receiver<Decision>,
}

impl<W, R> QueuedRequest<W, R> {
    /// Adds a generation to the queue of its service. `tried` and `software` restrict the engines that
    /// it may be sent to. If nothing else waits, the decision follows at once.
    pub fn enter(
        cx: &Rc<Host<W, R>>,
        call: &Rc<Call>,
        work: QueuedWork,
        tried: &[EndpointIx],
        software: Option<&SoftwareVersion>,
    ) -> Self {
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            call: call.clone(),
            tried: tried.to_vec(),
            software: software.cloned(),
            admitted: Cell::new(None),
            tx,
        };
        let service = &call.service().name;
        let (priority, entered_at) = (work.priority, Instant::now());
        let (ticket, is_first) = {
            let mut state = cx.state.borrow_mut();
            let queue = state.queues.entry(service.clone()).or_default();
            queue.set_max_body_bytes(cx.request_memory.limit() / 2);
            (queue.push(work, waiter), queue.len() == 1)
        };
        match is_first {
            true => drop(cx.pass_queue(service, Instant::now())),
            false => cx.queues_changed.notify_one(),
        }
        Self { cx: cx.clone(), call: call.clone(), ticket, priority, entered_at, rx }
    }

    /// Returns true if the decision is made, so that [`Self::decision`] returns at once.
    pub fn is_decided(&self) -> bool {
        !self.rx.is_empty()
    }

    /// Waits for the decision. Returns it with the reservation of the engine if the generation starts,
    /// or `None` if the response has to end before.
    pub async fn decision(mut self) -> Option<(Admission, Option<SendReservation<W, R>>)> {
        let decision = self.cx.within_response(&self.call, &mut self.rx).await?.ok()?;
        let label = match decision.admission {
            Admission::Start(_) => "start",
            Admission::Wait | Admission::Refuse { .. } => "refuse",
        };
        let priority = self.priority.to_string();
        let labels = [priority.as_str(), label];
        let waited = self.entered_at.elapsed().as_secs_f64();
        self.cx.metrics.queue_seconds.with_label_values(&labels).observe(waited);
        Some(self.accept(decision))
    }

    fn accept(&self, decision: Decision) -> (Admission, Option<SendReservation<W, R>>) {
        let Decision { admission, admitted } = decision;
        let reservation = match (&admission, admitted) {
            (Admission::Start(choice), Some(admitted)) => {
                Some(SendReservation::of_admitted(&self.cx, choice, admitted))
            }
            _ => None,
        };
        (admission, reservation)
    }
}

impl<W, R> Drop for QueuedRequest<W, R> {
    fn drop(&mut self) {
        let waiter = {
            let mut state = self.cx.state.borrow_mut();
            let queue = state.queues.get_mut(&self.call.service().name);
            queue.and_then(|queue| queue.remove(self.ticket))
        };
        if waiter.is_some() {
            // Others may have waited behind it.
            self.cx.queues_changed.notify_one();
        }
        // The decision may have been made after the client left.
        if let Ok(decision) = self.rx.try_recv() {
            drop(self.accept(decision));
        }
    }
}

impl<W, R> Host<W, R> {
    /// Admits or refuses generations that wait for engines of a service. Returns true if any decision
    /// was made.
    pub(crate) fn pass_queue(&self, service: &ServiceName, now: Instant) -> bool {
        let decided = {
            let mut guard = self.state.borrow_mut();
            let State { fleet, queues, rng, serving, .. } = &mut *guard;
            let in_force = serving.as_ref();
            let Some(queue) = queues.get_mut(service) else { return false };
            let Some(waiter) = queue.first() else { return false };
            // The specification may differ between versions of the configuration for a moment.
            let call = waiter.call.clone();
            let spec = call.service().engine.as_ref();
            let completions = queue.completions;
            let excluded = spec.map_or_else(Vec::new, |spec| {
                let pool = Pool { fleet, service, spec };
                let hosts = queue.peers.waiting_hosts(now);
                admission_queue::engines_left_to_others(&pool, hosts, rng)
            });
            let mut engines =
                HostEngines { fleet, rng, service, spec, in_force, excluded, completions, now };
            queue.pass(&mut engines, now)
        };
        let is_any = !decided.is_empty();
        for (waiter, admission) in decided {
            // The receiver exists while the generation is in the queue.
            let _ = waiter.tx.send(Decision { admission, admitted: waiter.admitted.get() });
        }
        is_any
    }

    /// Requests a pass over the queues, because an engine may have room.
    pub(crate) fn wake_queues(&self) {
        if self.settings.prioritised && self.has_queued() {
            self.queues_changed.notify_one();
        }
    }

    /// Records that a run has ended, and what that says about the time for which memory is held.
    pub(crate) fn end_run(&self, endpoint: EndpointIx, run: RunId) {
        let now = Instant::now();
        {
            let mut guard = self.state.borrow_mut();
            let State { fleet, queues, .. } = &mut *guard;
            let service = fleet.get(endpoint).map(|endpoint| &endpoint.entry.service);
            let queue = service.and_then(|service| queues.get_mut(service));
            if let (Some(queue), Some(ended)) = (queue, fleet.run_mut(endpoint, run)) {
                let duration = now.saturating_duration_since(ended.sent_at);
                queue.completions.record(ended.kv_tokens(), duration, now);
            }
            fleet.end_run(endpoint, run);
        }
        self.wake_queues();
    }

    /// Returns the number of requests that wait, and the most urgent priority that is known to wait at
    /// another host.
    pub(crate) fn queue_of(&self, service: &ServiceName) -> (usize, Option<u8>) {
        let state = self.state.borrow();
        let queue = state.queues.get(service);
        queue.map_or((0, None), |queue| (queue.len(), queue.peers.most_urgent(Instant::now())))
    }

    fn has_queued(&self) -> bool {
        let state = self.state.borrow();
        let queued = state.queues.values().map(|queue| queue.len()).sum::<usize>();
        self.metrics.queued.set(queued as i64);
        queued > 0
    }
}

/// Passes over the queues whenever an engine may have room.
pub async fn pass_queues<W, R>(cx: Rc<Host<W, R>>) {
    loop {
        match cx.has_queued() {
            true => drop(timeout(MAX_PASS_INTERVAL, cx.queues_changed.notified()).await),
            false => cx.queues_changed.notified().await,
        }
        let services: Vec<ServiceName> = cx.state.borrow().queues.keys().cloned().collect();
        for service in services {
            if cx.pass_queue(&service, Instant::now()) {
                // What starts may leave room for more that were skipped in this pass.
                cx.wake_queues();
            }
        }
        sleep(MIN_PASS_INTERVAL).await;
    }
}
