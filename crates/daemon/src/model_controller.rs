//! Sends commands to load and unload models, under a lease.
//!
//! One host of a region sends commands at a time: the live host that ranks highest for the region
//! acquires the lease. The lease is checked again immediately before each command. An endpoint that
//! checks fencing tokens refuses a command of a previous holder that was paused. An endpoint that
//! does not check them is sent a command only while the lease remains valid for longer than the
//! command's timeout, and a new holder waits until every command of its predecessor must have
//! ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_engine::client::{EngineClient, EngineDeadlines};
use camphorloft_engine::command::{ModelAction, ModelCommand};
use camphorloft_platform::api::{PlatformApi, Table, TransactOutcome};
use camphorloft_platform::lease::{LEASE_DURATION, Lease, LeaseAction};
use camphorloft_types::rendezvous;
use slog::{Logger, info, warn};

use crate::config_state::ConfigState;
use crate::core_client::{CoreSender, SharedState};
use crate::core_thread::{CoreMessage, PlannedSwitch};
use crate::settings::Settings;

/// Interval between two polls of the lease and the plan.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends model commands until stopped.
pub struct ModelController<P>
where
    P: PlatformApi,
{
    /// The platform.
    pub platform: Arc<P>,
    /// Settings of the host.
    pub settings: Settings,
    /// The version in force.
    pub config: ConfigState,
    /// The decision core.
    pub core: CoreSender,
    /// State shared with the core and the control plane.
    pub shared: Arc<SharedState>,
    /// Distinguishes processes with the same host name.
    pub nonce: u64,
    /// Log.
    pub log: Logger,
    /// Stops the controller when set.
    pub stop: Arc<AtomicBool>,
}

impl<P> ModelController<P>
where
    P: PlatformApi,
{
    /// Runs until stopped.
    pub fn run(&self) {
        let key = format!("models.{}", self.settings.region);
        let mut lease = Lease::new(&key, self.settings.host.clone(), self.nonce);
        let deadlines = EngineDeadlines {
            connect: COMMAND_TIMEOUT,
            response: COMMAND_TIMEOUT,
            progress: COMMAND_TIMEOUT,
        };
        let engines = EngineClient::new(deadlines);
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
            let wanted = self.has_partial_engine() && self.ranks_first();
            self.maintain_lease(&mut lease, wanted);
            if lease.fencing(Instant::now()).is_some() {
                let planned = self.plan();
                self.send_commands(&lease, &engines, planned);
            }
        }
    }

    /// Returns true when an engine of this region cannot hold all of its allowed models at once.
    fn has_partial_engine(&self) -> bool {
        let Some(serving) = self.config.serving() else { return false };
        serving.set.endpoints.values().any(|endpoint| {
            let object = &endpoint.object;
            let partial = object.max_models.is_some_and(|max| max < object.models.len());
            partial && object.region == self.settings.region
        })
    }

    /// Requests the planned model switches from the core.
    fn plan(&self) -> Vec<PlannedSwitch> {
        let (reply, planned) = sync_channel(1);
        self.core.send(CoreMessage::PlanModels(reply));
        planned.recv().unwrap_or_default()
    }

    /// Returns true when this host ranks first for its region among the live hosts.
    fn ranks_first(&self) -> bool {
        let region = &self.settings.region;
        let rows = self.shared.link.get().map(|link| link.rows()).unwrap_or_default();
        let live = rows.iter().filter(|row| row.region == region.as_str() && row.state == "alive");
        let others = live.map(|row| row.host.as_str());
        let own = rendezvous::score(region.as_str(), self.settings.host.as_str());
        others.map(|host| rendezvous::score(region.as_str(), host)).all(|score| score <= own)
    }

    fn maintain_lease(&self, lease: &mut Lease, wanted: bool) {
        let now = Instant::now();
        match lease.poll(now, wanted) {
            LeaseAction::Wait => {}
            LeaseAction::Read => {
                if let Ok(row) = self.platform.read(Table::Leases, lease.key()) {
                    lease.observe(Instant::now(), row.as_ref());
                }
            }
            LeaseAction::Write(write) => match self.platform.transact(Table::Leases, &[write]) {
                Ok(TransactOutcome::Applied) => lease.write_applied(),
                Ok(TransactOutcome::Conflicts(conflicts)) => {
                    let row = conflicts.first().and_then(|conflict| conflict.row.as_ref());
                    lease.write_conflicted(Instant::now(), row);
                }
                // The next read of the row shows whether the write was applied.
                Err(_) => {}
            },
        }
    }

    fn send_commands(&self, lease: &Lease, engines: &EngineClient, planned: Vec<PlannedSwitch>) {
        for switch in planned {
            let unload = switch.unload.clone().map(|model| (ModelAction::Unload, model));
            let load = (ModelAction::Load, switch.load.clone());
            for (action, model) in unload.into_iter().chain([load]) {
                // The process may be paused between any two commands, so each one checks the lease.
                let now = Instant::now();
                let Some(fencing) = lease.fencing(now) else { return };
                if !switch.checks_fencing && !may_command_unfenced(lease, now) {
                    break;
                }
                let command = ModelCommand { fencing, action, model };
                if !self.send_command(engines, &switch, &command) {
                    break;
                }
            }
        }
    }

    /// Sends one command. Returns false when it failed.
    fn send_command(
        &self,
        engines: &EngineClient,
        switch: &PlannedSwitch,
        command: &ModelCommand,
    ) -> bool {
        let result = engines.send_command(switch.addr, command);
        match &result {
            Ok(()) => info!(self.log, "order";
                "endpoint" => %switch.endpoint, "model" => %command.model,
                "action" => ?command.action, "fencing" => %command.fencing),
            Err(err) => warn!(self.log, "order failed";
                "endpoint" => %switch.endpoint, "model" => %command.model, "error" => %err),
        }
        result.is_ok()
    }
}

/// Returns true when a command may be sent to an endpoint that does not check fencing tokens.
fn may_command_unfenced(lease: &Lease, now: Instant) -> bool {
    lease.remaining(now) > COMMAND_TIMEOUT && lease.held_for(now) > LEASE_DURATION + COMMAND_TIMEOUT
}
