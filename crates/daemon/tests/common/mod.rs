//! Hosts and stand-ins in one process, and a client that checks each token.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use camphorloft_config::RawSet;
use camphorloft_config::org_key::KeyHash;
use camphorloft_daemon::host::{Host, start_host};
use camphorloft_daemon::settings::Settings;
use camphorloft_http::client::{Deadlines, unpooled_agent};
use camphorloft_http::event_reader::{EventReader, event_data, event_id};
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{Proposal, propose};
use camphorloft_standins::engine::{EngineHandle, EngineSettings, start_engine};
use camphorloft_standins::engine_model::EngineLimits;
use camphorloft_standins::platform_http::{PlatformHandle, start_platform};
use camphorloft_standins::service::{ServiceHandle, start_service};
use camphorloft_standins::text_model::{chain_next, chain_start};
use camphorloft_types::prelude::*;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use ureq::http::Response;
use ureq::{Agent, Body};

/// Keys of the two organisations.
pub const KEYS: [&str; 2] = ["key-one", "key-two"];
/// Timeout for a condition that must become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Hosts and stand-ins.
pub struct TestCluster {
    pub platform: PlatformHandle,
    pub engines: Vec<EngineHandle>,
    pub service: ServiceHandle,
    pub hosts: Vec<Host>,
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until a condition is true.
pub fn wait_until<Condition>(what: &str, condition: Condition)
where
    Condition: Fn() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn client() -> Agent {
    unpooled_agent(Deadlines {
        connect: WAIT_TIMEOUT,
        response: WAIT_TIMEOUT,
        progress: WAIT_TIMEOUT,
    })
}

impl TestCluster {
    pub fn start(hosts: usize, engines: usize) -> Self {
        let platform = start_platform(loopback()).unwrap();
        let service = start_service(loopback()).unwrap();
        let engine = |seed: usize| {
            start_engine(EngineSettings {
                addr: loopback(),
                limits: EngineLimits { step_micros: 4000, ..EngineLimits::default() },
                models: vec!["m".to_owned()],
                checks_fencing: true,
                exit_on_crash: false,
                token_interval: None,
                seed: seed as u64,
            })
            .unwrap()
        };
        let engines = (0..engines).map(engine).collect();
        let mut cluster = Self { platform, engines, service, hosts: Vec::new() };
        cluster.publish(0);
        for ix in 0..hosts {
            let host = cluster.start_host(&format!("host-{ix}"), &[]);
            cluster.hosts.push(host);
        }
        for host in &cluster.hosts {
            wait_until("a host has the configuration", || host.config.version().0 == 1);
        }
        cluster
    }

    pub fn publish(&self, base: u64) -> ConfigVersion {
        let endpoint = |(ix, engine): (usize, &EngineHandle)| {
            let object = json!({
                "address": engine.addr.to_string(), "region": "r", "zone": "z",
                "kv_tokens": EngineLimits::default().kv_tokens, "models": ["m"]
            });
            (format!("engine-{ix}"), object)
        };
        let endpoints: serde_json::Map<String, Value> =
            self.engines.iter().enumerate().map(endpoint).collect();
        let organisation =
            |key: &str| json!({ "key_hash": KeyHash::of(key).to_hex(), "weight": base + 1 });
        let document = json!({
            "models": { "m": { "max_output_tokens": 2000 } },
            "pools": { "p": { "endpoints": endpoints } },
            "organisations": { "one": organisation(KEYS[0]), "two": organisation(KEYS[1]) },
            "routes": { "verdict": { "model": "m", "pools": ["p"], "organisations": ["one"] } },
            "services": { "booking": {
                "endpoints": [self.service.addr.to_string()],
                "idempotent": [{ "method": "GET", "path_prefix": "/status" }],
                "organisations": ["one"]
            } }
        });
        let proposal = Proposal {
            id: format!("proposal-{base}"),
            author: "test".to_owned(),
            base: ConfigVersion(base),
            set: RawSet::parse(&document.to_string()).unwrap(),
        };
        propose(&HttpPlatform::new(self.platform.addr), &proposal).unwrap()
    }

    pub fn start_host(&self, name: &str, seeds: &[String]) -> Host {
        let settings = json!({
            "host": name, "region": "r", "zone": "z",
            "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
            "platform": self.platform.addr.to_string(),
            "secrets": ["a-secret-of-the-tests"], "operator_key": "operator",
            "seeds": seeds, "expected_hosts": 2, "drain_seconds": 60, "max_body_bytes": 100_000
        });
        let settings = Settings::parse(&settings.to_string()).unwrap();
        start_host(settings, Logger::root(Discard, o!())).unwrap()
    }

    pub fn host(&self) -> SocketAddr {
        self.hosts[0].addr
    }

    /// Returns the number of invariant violations that all hosts counted.
    pub fn violations(&self) -> u64 {
        self.hosts.iter().map(|host| host.shared.metrics.violation_count()).sum()
    }
}

/// The client's side of a generation.
pub struct ClientStream {
    pub text: String,
    pub tokens: u32,
    pub last_id: Option<String>,
    pub error: Option<Value>,
    pub done: bool,
    chain: u64,
    events: EventReader<ureq::BodyReader<'static>>,
}

/// Requests a generation of `tokens` tokens. `from` resumes an earlier stream, and says whether to
/// send its delivered text.
pub fn generate(
    host: SocketAddr,
    key: &str,
    prompt: &str,
    tokens: u32,
    from: Option<(&ClientStream, bool)>,
) -> Result<ClientStream, Box<Response<Body>>> {
    let mut body = json!({
        "model": "verdict", "prompt": prompt, "stream": true,
        "standin": { "output_tokens": tokens }
    });
    let mut call = client()
        .post(format!("http://{host}/v1/completions"))
        .header("authorization", format!("Bearer {key}"));
    if let Some((stream, with_text)) = from {
        call = call.header("last-event-id", stream.last_id.clone().unwrap());
        if with_text {
            body["camphorloft"] = json!({ "delivered": stream.text });
        }
    }
    let response = call.send_json(&body).unwrap();
    if response.status() != 200 {
        return Err(Box::new(response));
    }
    let (text, tokens, chain) = match from {
        Some((stream, _)) => (stream.text.clone(), stream.tokens, stream.chain),
        None => (String::new(), 0, chain_start(prompt)),
    };
    Ok(ClientStream {
        text,
        tokens,
        last_id: None,
        error: None,
        done: false,
        chain,
        events: EventReader::new(response.into_body().into_reader()),
    })
}

impl ClientStream {
    /// Reads and checks up to `count` more tokens.
    pub fn read(&mut self, count: u32) {
        let end = self.tokens.saturating_add(count);
        while self.tokens < end && !self.done && self.error.is_none() {
            let event = self.events.next_event().unwrap().expect("the stream ended early");
            if event.starts_with(':') {
                continue;
            }
            let data = event_data(&event).unwrap();
            if event.starts_with("event: error") {
                self.error = Some(serde_json::from_str(data).unwrap());
                return;
            }
            if data == "[DONE]" {
                self.done = true;
                return;
            }
            let chunk: Value = serde_json::from_str(data).unwrap();
            assert_eq!(chunk["offset"].as_u64(), Some(u64::from(self.tokens)), "token order");
            let text = chunk["choices"][0]["text"].as_str().unwrap();
            self.chain = chain_next(self.chain, text);
            assert_eq!(
                chunk["chain"].as_str(),
                Some(&*format!("{:016x}", self.chain)),
                "token chain"
            );
            self.text.push_str(text);
            self.tokens += 1;
            self.last_id = event_id(&event).map(str::to_owned);
        }
    }

    /// Reads to the end and checks that no token is missing.
    pub fn read_to_end(mut self, tokens: u32) {
        self.read(u32::MAX);
        assert_eq!(self.error, None);
        assert!(self.done);
        assert_eq!(self.tokens, tokens);
    }
}

/// Returns the problem in the body of a response.
pub fn problem(response: &mut Response<Body>) -> Value {
    response.body_mut().read_json().unwrap()
}

/// Calls a method of the service that is not idempotent, with an idempotency key.
pub fn reserve(host: SocketAddr, key: &str, body: &str) -> Response<Body> {
    client()
        .post(format!("http://{host}/services/booking/reserve"))
        .header("authorization", format!("Bearer {}", KEYS[0]))
        .header("idempotency-key", key)
        .send(body)
        .unwrap()
}
