//! Learns of new versions of the object set from the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use camphorloft_platform::api::PlatformApi;
use camphorloft_platform::publication::fetch_since;
use rand::Rng;
use slog::{Logger, debug, error};

use crate::config_state::{ConfigState, Offer};
use crate::core_client::CoreSender;
use crate::core_thread::CoreMessage;

/// Mean time between two reads of the newest version.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the platform until `stop` is set.
pub struct ConfigWatch<P>
where
    P: PlatformApi,
{
    /// The platform.
    pub platform: Arc<P>,
    /// The version in force.
    pub state: ConfigState,
    /// The decision core.
    pub core: CoreSender,
    /// Log.
    pub log: Logger,
    /// Ends the watch.
    pub stop: Arc<AtomicBool>,
}

impl<P> ConfigWatch<P>
where
    P: PlatformApi,
{
    /// Polls until stopped.
    pub fn run(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            self.poll();
            // Jitter keeps hosts that started together from polling together.
            let factor = rand::rng().random_range(0.5..1.5);
            thread::sleep(POLL_INTERVAL.mul_f64(factor));
        }
    }

    fn poll(&self) {
        let fetched = match fetch_since(&*self.platform, &self.state.raw()) {
            Ok(Some(fetched)) => fetched,
            Ok(None) => return,
            Err(err) => {
                debug!(self.log, "configuration could not be fetched"; "error" => %err);
                return;
            }
        };
        apply(&self.state, fetched, &self.core, &self.log, "platform");
    }
}

/// Offers a version to the state and tells the core when it came into force.
pub fn apply(
    state: &ConfigState,
    offered: camphorloft_platform::publication::VersionedSet,
    core: &CoreSender,
    log: &Logger,
    source: &str,
) {
    let version = offered.version;
    match state.offer(offered) {
        Offer::InForce(serving) => core.send(CoreMessage::Config(serving, source.to_owned())),
        Offer::Stale => {}
        Offer::Invalid(findings) => {
            error!(log, "a published version has findings on this host; the old one stays";
                "version" => %version, "findings" => %findings);
        }
    }
}
