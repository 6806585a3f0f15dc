//! The JSON settings of a host.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use camphorloft_config::Findings;
use camphorloft_types::prelude::*;
use serde::Deserialize;

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
const DEFAULT_MAX_BODY: u64 = 4 << 20;
const DEFAULT_MAX_IN_FLIGHT: usize = 4000;
const DEFAULT_DRAIN_SECONDS: u64 = 900;
const DEFAULT_HOSTS: u32 = 8;

fn default_max_body() -> u64 {
    DEFAULT_MAX_BODY
}

fn default_max_in_flight() -> usize {
    DEFAULT_MAX_IN_FLIGHT
}

fn default_drain_seconds() -> u64 {
    DEFAULT_DRAIN_SECONDS
}

fn default_hosts() -> u32 {
    DEFAULT_HOSTS
}

/// Settings as read from the file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the host.
    pub host: HostName,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: AvailabilityZone,
    /// Address for clients and operators.
    pub listen: SocketAddr,
    /// Address for other hosts, UDP and TCP.
    pub peer_listen: SocketAddr,
    /// Addresses of other hosts to contact when the platform's host list is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Secrets that all hosts share: the first one signs, every one is accepted.
    pub secrets: Vec<String>,
    /// Key that operators present.
    pub operator_key: String,
    /// Largest body of a request, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body_bytes: u64,
    /// Maximum number of requests in flight.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: usize,
    /// Drain timeout of a graceful shutdown, in seconds.
    #[serde(default = "default_drain_seconds")]
    pub drain_seconds: u64,
    /// Number of hosts between which the platform's call budget is divided, until more are known.
    #[serde(default = "default_hosts")]
    pub expected_hosts: u32,
}

/// Validated settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Region of the host.
    pub region: Region,
    /// Availability zone of the host.
    pub zone: AvailabilityZone,
    /// Address for clients and operators.
    pub listen: SocketAddr,
    /// Address for other hosts.
    pub peer_listen: SocketAddr,
    /// Addresses of other hosts to contact when the platform's host list is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Secrets that all hosts share. The first one signs.
    pub secrets: Vec<Vec<u8>>,
    /// Key that operators present.
    pub operator_key: String,
    /// Largest body of a request.
    pub max_body: ByteSize,
    /// Maximum number of requests in flight.
    pub max_in_flight: usize,
    /// Drain timeout of a graceful shutdown.
    pub drain_timeout: Duration,
    /// Number of hosts between which the platform's call budget is divided.
    pub expected_hosts: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every finding with its path.
    pub fn read(path: &Path) -> Result<Self, Findings> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|err| {
            let mut findings = Findings::default();
            findings.push("", err.to_string(), "give a file that can be read");
            findings.in_file(&file)
        })?;
        Self::parse(&text).map_err(|findings| findings.in_file(&file))
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns every finding with its path.
    ///
    /// ```
    /// use camphorloft_daemon::settings::Settings;
    /// let findings = Settings::parse(r#"{"host": "Bad Name"}"#).unwrap_err();
    /// assert_eq!(findings.0[0].path, "/host");
    /// ```
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let raw: RawSettings =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|err| {
                let mut findings = Findings::default();
                let path = format!("/{}", err.path().to_string().replace('.', "/"));
                findings.push(path, err.inner().to_string(), "correct the settings");
                findings
            })?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = Findings;

    fn try_from(raw: RawSettings) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        if raw.secrets.is_empty() {
            findings.push("/secrets", "there is no secret", "give the secret that all hosts share");
        }
        for (ix, secret) in raw.secrets.iter().enumerate() {
            if secret.len() < MIN_SECRET_BYTES {
                let what = format!("the secret has fewer than {MIN_SECRET_BYTES} bytes");
                findings.push(format!("/secrets/{ix}"), what, "give a longer random secret");
            }
        }
        if raw.operator_key.is_empty() {
            findings.push(
                "/operator_key",
                "the key is empty",
                "give the key that operators present",
            );
        }
        if raw.max_in_flight == 0 {
            findings.push("/max_in_flight", "the limit is 0", "allow at least 1 request");
        }
        if raw.expected_hosts == 0 {
            findings.push("/expected_hosts", "the number is 0", "give the number of hosts");
        }
        if raw.peer_listen.ip().is_unspecified() {
            let what = "the address is unspecified, so it cannot be announced to other hosts";
            findings.push("/peer_listen", what, "give the address that other hosts reach");
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        Ok(Self {
            host: raw.host,
            region: raw.region,
            zone: raw.zone,
            listen: raw.listen,
            peer_listen: raw.peer_listen,
            seeds: raw.seeds,
            platform: raw.platform,
            secrets: raw.secrets.into_iter().map(String::into_bytes).collect(),
            operator_key: raw.operator_key,
            max_body: ByteSize(raw.max_body_bytes),
            max_in_flight: raw.max_in_flight,
            drain_timeout: Duration::from_secs(raw.drain_seconds),
            expected_hosts: raw.expected_hosts,
        })
    }
}
