//! A host with stand-in engines, platform and service, for demonstrations.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use camphorloft_config::RawSet;
use camphorloft_config::org_key::KeyHash;
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{Proposal, propose};
use camphorloft_standins::engine::{EngineHandle, EngineSettings, start_engine};
use camphorloft_standins::engine_model::EngineLimits;
use camphorloft_standins::platform_http::{PlatformHandle, start_platform};
use camphorloft_standins::service::{ServiceHandle, start_service};
use camphorloft_types::prelude::*;
use serde_json::{Value, json};
use slog::Logger;

use crate::host::{Host, start_host};
use crate::settings::Settings;

/// Key of the organisation of the embedded configuration.
pub const DEMO_KEY: &str = "demo-key";
/// Key of the operator of the embedded configuration.
pub const DEMO_OPERATOR_KEY: &str = "demo-operator-key";
/// Name of the route of the embedded configuration.
pub const DEMO_ROUTE: &str = "verdict";
const DEMO_MODEL: &str = "bump-8b";
const ENGINES: usize = 3;
/// Longest wait for the first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A host with its stand-ins.
pub struct Embedded {
    /// The host.
    pub host: Host,
    /// Stand-in engines.
    pub engines: Vec<EngineHandle>,
    /// Stand-in platform.
    pub platform: PlatformHandle,
    /// Stand-in service.
    pub service: ServiceHandle,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts the stand-ins, publishes a configuration and starts a host.
///
/// # Errors
///
/// Returns the error of binding an address or publishing the configuration, and an error when it
/// does not come into force in time.
pub fn start_embedded(listen: SocketAddr, log: Logger) -> io::Result<Embedded> {
    let platform = start_platform(loopback())?;
    let service = start_service(loopback())?;
    let mut engines = Vec::new();
    for seed in 0..ENGINES {
        engines.push(start_engine(EngineSettings {
            addr: loopback(),
            limits: EngineLimits::default(),
            models: vec![DEMO_MODEL.to_owned()],
            checks_fencing: true,
            exit_on_crash: false,
            token_interval: None,
            seed: seed as u64,
        })?);
    }
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.addr).collect();
    let set = demo_set(&addresses, service.addr).map_err(io::Error::other)?;
    let proposal = Proposal {
        id: "embedded".to_owned(),
        author: "embedded".to_owned(),
        base: ConfigVersion(0),
        set,
    };
    propose(&HttpPlatform::new(platform.addr), &proposal).map_err(io::Error::other)?;
    let host = start_host(demo_settings(listen, platform.addr)?, log)?;
    wait_for_config(&host)?;
    Ok(Embedded { host, engines, platform, service })
}

fn wait_for_config(host: &Host) -> io::Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    while host.config.version() == ConfigVersion(0) {
        if Instant::now() > deadline {
            return Err(io::Error::other("the configuration did not come into force"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn demo_settings(listen: SocketAddr, platform: SocketAddr) -> io::Result<Settings> {
    let text = json!({
        "host": "embedded-1",
        "region": "khomas",
        "zone": "khomas-a",
        "listen": listen.to_string(),
        "peer_listen": "127.0.0.1:0",
        "platform": platform.to_string(),
        "secrets": ["embedded-secret-of-no-worth"],
        "operator_key": DEMO_OPERATOR_KEY,
        "expected_hosts": 1
    });
    Settings::parse(&text.to_string()).map_err(io::Error::other)
}

/// Returns the object set of the embedded configuration.
///
/// # Errors
///
/// Returns findings, which would indicate a bug in this function.
pub fn demo_set(
    engines: &[SocketAddr],
    service: SocketAddr,
) -> Result<RawSet, camphorloft_config::Findings> {
    let endpoint = |(ix, addr): (usize, &SocketAddr)| {
        let object = json!({
            "address": addr.to_string(),
            "region": "khomas",
            "zone": "khomas-a",
            "kv_tokens": EngineLimits::default().kv_tokens,
            "models": [DEMO_MODEL],
            "checks_fencing": true
        });
        (format!("khomas-{}", ix + 1), object)
    };
    let endpoints: serde_json::Map<String, Value> =
        engines.iter().enumerate().map(endpoint).collect();
    let document = json!({
        "models": { DEMO_MODEL: { "max_output_tokens": 32768 } },
        "pools": { "khomas": { "endpoints": endpoints } },
        "organisations": { "demo": { "key_hash": KeyHash::of(DEMO_KEY).to_hex(), "weight": 1 } },
        "routes": {
            DEMO_ROUTE: {
                "model": DEMO_MODEL,
                "pools": ["khomas"],
                "priority": "high",
                "organisations": ["demo"]
            }
        },
        "services": {
            "booking": {
                "endpoints": [service.to_string()],
                "idempotent": [{ "method": "GET", "path_prefix": "/" }],
                "organisations": ["demo"]
            }
        }
    });
    RawSet::parse(&document.to_string())
}
