//! Keeps the secret that authenticates messages between hosts the same as in the registry.
//!
//! The registry decides which secret is in force, and a host writes one only if there is none. After a
//! restoration of the registry from an older copy, it may hold another secret than the running hosts share.
//! A host that doubts its secret reads it again: after a restoration, when a message of another host is not
//! authentic, and while it knows no other host. It then seals with the secret of the registry, so that the
//! messages that it sends make the others doubt theirs, and accepts the former one for a while.

use std::rc::Rc;
use std::time::{Duration, Instant};

use camphorloft_peer::seal::FrameKeys;
use rand::Rng;
use rand::seq::IndexedRandom;
use slog::{info, warn};
use tokio::time::sleep;

use crate::boundary::{HostRecord, Registry, RegistryEra};
use crate::context::Host;
use crate::peer_link::{JOIN_CONTACTS, peer_addresses, retry_until_ok};

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum random delay of a read. Many hosts may receive the first message with a new secret at once.
const MAX_READ_DELAY: Duration = Duration::from_millis(1000);
/// Minimum time between two reads. It doubles with each read that finds the secret unchanged: anyone can
/// send messages that are not authentic, and each read is billed.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum of that time.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(512);
/// Time for which messages with the former secret are accepted, from hosts that the registry does not serve.
/// They can rejoin later too, as soon as it serves them.
const FORMER_SECRET_PERIOD: Duration = Duration::from_secs(600);

/// Follows the registry's secret. `secret` is the one in use, and `era` that of the registry when it was
/// read. After a restoration, writes again what this host had written, `record` among it; others can join
/// through the hosts that do so.
pub async fn follow<W, R>(
    cx: Rc<Host<W, R>>,
    mut secret: Vec<u8>,
    mut era: RegistryEra,
    record: HostRecord,
) where
    R: Registry,
{
    let mut former_until: Option<Instant> = None;
    let mut read_interval = MIN_READ_INTERVAL;
    let mut read_at = Instant::now() + read_interval;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        if former_until.is_some_and(|until| now >= until) {
            former_until = None;
            cx.set_frame_keys(FrameKeys::derive(std::slice::from_ref(&secret)));
        }
        let is_restored = cx.registry.era() > era;
        if is_restored {
            era = cx.registry.era();
            info!(cx.log, "registry restored from an older copy"; "era" => %era);
        } else if cx.doubts_secret.get() && now >= read_at {
            let delay = MAX_READ_DELAY.mul_f64(cx.state.borrow_mut().rng.random::<f64>());
            sleep(delay).await;
        } else {
            continue;
        }
        cx.doubts_secret.set(false);
        let stored = retry_until_ok(&cx, "secret", || cx.registry.shared_secret(&secret)).await;
        let is_other = stored != secret;
        if is_other {
            warn!(cx.log, "registry holds another secret than the hosts"; "era" => %era);
            cx.set_frame_keys(FrameKeys::derive(&[stored.clone(), secret]));
            secret = stored;
            former_until = Some(Instant::now() + FORMER_SECRET_PERIOD);
        }
        read_interval = match is_other {
            true => MIN_READ_INTERVAL,
            false => (read_interval * 2).min(MAX_READ_INTERVAL),
        };
        read_at = Instant::now() + read_interval;
        if is_restored {
            retry_until_ok(&cx, "announce", || cx.registry.announce(&record)).await;
        }
        if is_other {
            contact_announced_hosts(&cx).await;
        }
    }
}

/// Contacts hosts that may have had the secret of the registry before this one.
async fn contact_announced_hosts<W, R>(cx: &Rc<Host<W, R>>)
where
    R: Registry,
{
    let known = retry_until_ok(cx, "hosts", || cx.registry.announced_hosts()).await;
    let addresses = peer_addresses(cx, &known);
    info!(cx.log, "joining peers"; "addresses" => addresses.len());
    let contacts: Vec<_> = {
        let rng = &mut cx.state.borrow_mut().rng;
        addresses.choose_multiple(rng, JOIN_CONTACTS).copied().collect()
    };
    cx.with_link(|link, out| link.request_sync(&contacts, out));
}

impl<W, R> Host<W, R> {
    /// Returns the keys that authenticate messages between hosts, once they are known.
    pub fn frame_keys(&self) -> Option<FrameKeys> {
        self.state.borrow_mut().peers.link_mut().map(|(link, _)| link.keys().clone())
    }

    fn set_frame_keys(&self, keys: FrameKeys) {
        if let Some((link, _)) = self.state.borrow_mut().peers.link_mut() {
            link.set_keys(keys);
        }
    }
}
