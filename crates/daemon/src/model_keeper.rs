//! Gives orders to load models, under a lease.
//!
//! One host of a region gives orders at a time: the one that ranks highest for the region among
//! the live hosts asks for the lease. The lease is looked at again right before each order. An
//! endpoint that checks fencing numbers refuses the order of a holder that was paused. One that
//! does not gets an order only while the lease lasts longer than the order may take, and from a
//! new holder only once the orders of the one before must have ended.

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
use crate::core_client::{CoreSender, Shared};
use crate::core_thread::{CoreMessage, PlannedSwitch};
use crate::settings::Settings;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_secs(1);
/// Longest time of one order.
const ORDER_TIME: Duration = Duration::from_secs(2);

/// Gives orders until stopped.
pub struct ModelKeeper<P>
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
    /// State that the core and the control plane write.
    pub shared: Arc<Shared>,
    /// Distinguishes processes of the same host name.
    pub nonce: u64,
    /// Log.
    pub log: Logger,
    /// Ends the keeper.
    pub stop: Arc<AtomicBool>,
}

impl<P> ModelKeeper<P>
where
    P: PlatformApi,
{
    /// Runs until stopped.
    pub fn run(&self) {
        let key = format!("models.{}", self.settings.region);
        let mut lease = Lease::new(&key, self.settings.host.clone(), self.nonce);
        let deadlines =
            EngineDeadlines { connect: ORDER_TIME, response: ORDER_TIME, progress: ORDER_TIME };
        let engines = EngineClient::new(deadlines);
        while !self.stop.load(Ordering::Relaxed) {
            thread::sleep(INTERVAL);
            let wanted = self.has_choice() && self.ranks_first();
            self.keep_lease(&mut lease, wanted);
            if lease.fencing(Instant::now()).is_some() {
                let planned = self.plan();
                self.give_orders(&lease, &engines, planned);
            }
        }
    }

    /// Returns true when an engine of the region cannot hold all of its models.
    fn has_choice(&self) -> bool {
        let Some(serving) = self.config.serving() else { return false };
        serving.set.endpoints.values().any(|endpoint| {
            let object = &endpoint.object;
            let partial = object.max_models.is_some_and(|max| max < object.models.len());
            partial && object.region == self.settings.region
        })
    }

    /// Asks the core for the switches that it would make.
    fn plan(&self) -> Vec<PlannedSwitch> {
        let (reply, planned) = sync_channel(1);
        self.core.send(CoreMessage::PlanModels(reply));
        planned.recv().unwrap_or_default()
    }

    /// Returns true when this host ranks first for the region among the live ones.
    fn ranks_first(&self) -> bool {
        let region = &self.settings.region;
        let rows = self.shared.link.get().map(|link| link.rows()).unwrap_or_default();
        let live = rows.iter().filter(|row| row.region == region.as_str() && row.state == "alive");
        let others = live.map(|row| row.host.as_str());
        let own = rendezvous::score(region.as_str(), self.settings.host.as_str());
        others.map(|host| rendezvous::score(region.as_str(), host)).all(|score| score <= own)
    }

    fn keep_lease(&self, lease: &mut Lease, wanted: bool) {
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
                // The row tells at the next look whether the write landed.
                Err(_) => {}
            },
        }
    }

    fn give_orders(&self, lease: &Lease, engines: &EngineClient, planned: Vec<PlannedSwitch>) {
        for switch in planned {
            let unload = switch.unload.clone().map(|model| (ModelAction::Unload, model));
            let load = (ModelAction::Load, switch.load.clone());
            for (action, model) in unload.into_iter().chain([load]) {
                // A pause may lie between any two orders, so the lease is looked at for each.
                let now = Instant::now();
                let Some(fencing) = lease.fencing(now) else { return };
                if !switch.checks_fencing && !may_order_unchecked(lease, now) {
                    break;
                }
                let order = ModelCommand { fencing, action, model };
                if !self.give(engines, &switch, &order) {
                    break;
                }
            }
        }
    }

    /// Gives one order. Returns false when it failed.
    fn give(&self, engines: &EngineClient, switch: &PlannedSwitch, order: &ModelCommand) -> bool {
        let result = engines.send_command(switch.addr, order);
        match &result {
            Ok(()) => info!(self.log, "order";
                "endpoint" => %switch.endpoint, "model" => %order.model,
                "action" => ?order.action, "fencing" => %order.fencing),
            Err(err) => warn!(self.log, "order failed";
                "endpoint" => %switch.endpoint, "model" => %order.model, "error" => %err),
        }
        result.is_ok()
    }
}

/// Returns true when an endpoint that ignores fencing numbers may be given an order.
fn may_order_unchecked(lease: &Lease, now: Instant) -> bool {
    lease.remaining(now) > ORDER_TIME && lease.held_for(now) > LEASE_DURATION + ORDER_TIME
}
