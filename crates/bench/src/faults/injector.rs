//! Injects random faults, sometimes two at once or the same one twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use camphorloft_http::client::Deadlines;
use camphorloft_standins::engine_http::EngineFault;
use camphorloft_standins::platform::PlatformFault;
use camphorloft_standins::service::ServiceFault;
use camphorloft_standins::text_model::chain_start;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::cluster::{Cluster, ROUTE, organisation_key};
use super::recorder::{Invariant, Recorder};

/// Time after which a draining endpoint must be offered no work: the lag of its report or of the
/// host list, the interval between two reads and the duration of a placement in progress.
const DRAINING_LIMIT: Duration = Duration::from_secs(6);
/// Maximum number of crashes by one request: three until it is refused, and three more on hosts
/// that had not received these crashes when the client retried.
const MAX_POISON_CRASHES: u32 = 6;
/// Number of times that a poison request is sent.
const POISON_TRIES: usize = 4;
/// Maximum number of hosts that are disrupted at the same time.
const MAX_DISRUPTED: usize = 3;
/// Probability that a second fault is injected together with the first.
const SECOND_FAULT_PROBABILITY: f64 = 0.25;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    EngineCrash,
    EngineFreeze,
    EngineReclaim,
    EngineSilence,
    EngineDrain,
    EngineListedDraining,
    HostKill,
    HostPause,
    HostDrain,
    PlatformOutage,
    PlatformSlow,
    PlatformLostResponse,
    ServiceLostResponse,
    ServiceFreeze,
    Poison,
}

const FAULTS: [Fault; 15] = [
    Fault::EngineCrash,
    Fault::EngineFreeze,
    Fault::EngineReclaim,
    Fault::EngineSilence,
    Fault::EngineDrain,
    Fault::EngineListedDraining,
    Fault::HostKill,
    Fault::HostPause,
    Fault::HostDrain,
    Fault::PlatformOutage,
    Fault::PlatformSlow,
    Fault::PlatformLostResponse,
    Fault::ServiceLostResponse,
    Fault::ServiceFreeze,
    Fault::Poison,
];

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Fault::EngineCrash => "engine_crash",
            Fault::EngineFreeze => "engine_freeze",
            Fault::EngineReclaim => "engine_reclaim",
            Fault::EngineSilence => "engine_silent_connections",
            Fault::EngineDrain => "engine_drain",
            Fault::EngineListedDraining => "engine_listed_leaving",
            Fault::HostKill => "host_kill",
            Fault::HostPause => "host_pause",
            Fault::HostDrain => "host_drain",
            Fault::PlatformOutage => "platform_outage",
            Fault::PlatformSlow => "platform_slow",
            Fault::PlatformLostResponse => "platform_lost_answer",
            Fault::ServiceLostResponse => "service_lost_answer",
            Fault::ServiceFreeze => "service_freeze",
            Fault::Poison => "poison",
        }
    }
}

/// Injects faults.
pub struct Injector {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Recorder of the faults and checks.
    pub recorder: Arc<Recorder>,
    /// Stops the injector when set.
    pub stop: Arc<AtomicBool>,
    /// Seed of the schedule.
    pub seed: u64,
}

impl Injector {
    /// Injects faults until stopped, then waits for the active ones to end.
    pub fn run(self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let stop = self.stop.clone();
        let injector = Arc::new(self);
        let mut running: Vec<JoinHandle<()>> = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(rng.random_range(400..1600)));
            let first = FAULTS.choose(&mut rng).copied().unwrap_or(Fault::EngineCrash);
            running.push(Self::spawn(&injector, first, rng.random()));
            if rng.random_bool(SECOND_FAULT_PROBABILITY) {
                let again = rng.random_bool(0.3);
                let other = FAULTS.choose(&mut rng).copied().unwrap_or(first);
                let second = if again { first } else { other };
                injector.recorder.fault("two_at_once");
                running.push(Self::spawn(&injector, second, rng.random()));
            }
        }
        for fault in running {
            // The panic hook has already printed the panic of a thread.
            let _ = fault.join();
        }
    }

    fn spawn(injector: &Arc<Self>, fault: Fault, seed: u64) -> JoinHandle<()> {
        let injector = injector.clone();
        thread::spawn(move || injector.inject(fault, &mut Pcg64Mcg::seed_from_u64(seed)))
    }

    fn inject(&self, fault: Fault, rng: &mut Pcg64Mcg) {
        let engine = rng.random_range(0..self.cluster.engines.len());
        let inject = |fault| self.cluster.engines[engine].engine.inject(fault);
        let platform = |fault| self.cluster.platform.platform.state().inject(fault);
        let service = rng.random_range(0..self.cluster.services.len());
        let service = &self.cluster.services[service].service;
        self.recorder.fault(fault.name());
        match fault {
            Fault::EngineCrash => inject(EngineFault::Crash(rng.random_range(300..3000))),
            Fault::EngineFreeze => inject(EngineFault::Freeze(rng.random_range(300..3000))),
            Fault::EngineSilence => inject(EngineFault::SilenceStreams),
            Fault::EngineReclaim => {
                inject(EngineFault::Reclaim(rng.random_range(300..2000)));
                thread::sleep(Duration::from_secs(6));
                inject(EngineFault::Return);
            }
            Fault::EngineDrain => self.drain_engine(engine),
            Fault::EngineListedDraining => self.list_engine_as_draining(engine),
            Fault::HostKill => self.with_host(rng, |ix, rng| {
                self.cluster.kill_host(ix);
                thread::sleep(Duration::from_millis(rng.random_range(200..2500)));
                self.restart(ix);
            }),
            Fault::HostPause => self.with_host(rng, |ix, rng| {
                self.cluster.pause_host(ix);
                thread::sleep(Duration::from_millis(rng.random_range(500..7000)));
                self.cluster.resume_host(ix);
            }),
            Fault::HostDrain => self.with_host(rng, |ix, _| {
                let clean = self.cluster.drain_host(ix);
                self.recorder.check(Invariant::DrainCutsNothing, clean, || {
                    format!("host {ix} cut requests")
                });
                self.restart(ix);
            }),
            Fault::PlatformOutage => {
                platform(PlatformFault::Outage(rng.random_range(500..6000)));
            }
            Fault::PlatformSlow => {
                platform(PlatformFault::Slow(
                    rng.random_range(50..1500),
                    rng.random_range(500..4000),
                ));
            }
            Fault::PlatformLostResponse => {
                platform(PlatformFault::LoseAnswers(rng.random_range(1..4)));
            }
            Fault::ServiceLostResponse => service.inject(ServiceFault::LoseAnswers(1)),
            Fault::ServiceFreeze => {
                service.inject(ServiceFault::Freeze(rng.random_range(500..7000)));
            }
            Fault::Poison => self.send_poison(rng),
        }
    }

    /// Runs a fault on a random host that is not disrupted, unless too many hosts are.
    fn with_host<Action>(&self, rng: &mut Pcg64Mcg, action: Action)
    where
        Action: FnOnce(usize, &mut Pcg64Mcg),
    {
        let chosen = {
            let mut hosts = self.cluster.hosts();
            let disrupted = hosts.iter().filter(|slot| slot.disrupted).count();
            let stable: Vec<usize> = (0..hosts.len()).filter(|ix| !hosts[*ix].disrupted).collect();
            let chosen = stable.choose(rng).copied().filter(|_| disrupted < MAX_DISRUPTED);
            if let Some(ix) = chosen {
                hosts[ix].disrupted = true;
            }
            chosen
        };
        if let Some(ix) = chosen {
            action(ix, rng);
        }
    }

    fn restart(&self, ix: usize) {
        if let Err(err) = self.cluster.start_host(ix) {
            eprintln!("host {ix} could not be started: {err}");
        }
    }

    /// Makes an engine report that it is draining, and checks that it is offered no work after the
    /// limit.
    fn drain_engine(&self, engine: usize) {
        let engine = &self.cluster.engines[engine].engine;
        engine.inject(EngineFault::Drain);
        self.check_no_late_work(engine, Instant::now());
        engine.inject(EngineFault::Return);
    }

    /// Lists an engine as draining in the host list of the platform, which hosts read with a lag.
    fn list_engine_as_draining(&self, ix: usize) {
        let handle = &self.cluster.engines[ix];
        let name = format!("engine-{ix}");
        let entry = camphorloft_platform::wire::HostEntry {
            name: name.clone(),
            addr: handle.addr.to_string(),
            http_addr: None,
            region: "khomas".to_owned(),
            zone: "khomas-a".to_owned(),
            leaving: true,
        };
        self.cluster.platform.platform.state().set_host(&name, Some(entry));
        thread::sleep(DRAINING_LIMIT);
        self.cluster.platform.platform.state().set_host(&name, None);
    }

    fn check_no_late_work(&self, engine: &camphorloft_standins::engine::Engine, since: Instant) {
        thread::sleep(DRAINING_LIMIT + Duration::from_secs(3));
        let limit = since + DRAINING_LIMIT;
        let record = engine.record();
        let draining_before = record.draining_since.is_some_and(|at| at <= since);
        let late = record.received_while_draining.iter().filter(|at| **at > limit).count();
        if draining_before {
            self.recorder.check(Invariant::DrainingGetsNoWork, late == 0, || {
                format!("{late} attempts offered later than the limit")
            });
        }
    }

    /// Sends a poison request repeatedly and counts the crashes.
    fn send_poison(&self, rng: &mut Pcg64Mcg) {
        let prompt = format!("POISON {}", rng.random::<u64>());
        let agent = camphorloft_http::client::unpooled_agent(Deadlines {
            connect: Duration::from_millis(500),
            response: Duration::from_secs(10),
            progress: Duration::from_secs(10),
        });
        for _ in 0..POISON_TRIES {
            let host = {
                let hosts = self.cluster.hosts();
                hosts[rng.random_range(0..hosts.len())].http
            };
            let call = agent
                .post(format!("http://{host}/v1/completions"))
                .header("authorization", format!("Bearer {}", organisation_key("swakop")))
                .header("idempotency-key", format!("{}", rng.random::<u64>()));
            // Every response to this request is a refusal or an error.
            let _ = call.send_json(json!({ "model": ROUTE, "prompt": prompt }));
        }
        let start = chain_start(&prompt);
        let crashes: u32 = self
            .cluster
            .engines
            .iter()
            .map(|handle| handle.engine.record().poison_crashes.get(&start).copied().unwrap_or(0))
            .sum();
        self.recorder.check(Invariant::PoisonRefused, crashes <= MAX_POISON_CRASHES, || {
            format!("{crashes} crashes by one request")
        });
    }
}
