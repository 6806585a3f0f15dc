//! Clients that request generations and check every token.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use camphorloft_http::client::{Deadlines, is_not_sent, unpooled_agent};
use camphorloft_http::event_reader::{EventReader, event_data, event_id};
use camphorloft_standins::text_model::{chain_next, chain_start};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use ureq::Agent;

use super::cluster::{Cluster, ORGANISATIONS, ROUTE, organisation_key};
use super::recorder::{Invariant, Outcome, Recorder};

/// Maximum number of tries for one generation.
const MAX_TRIES: u32 = 30;
/// Delay between two tries.
const RETRY_WAIT: Duration = Duration::from_millis(250);
const MAX_OUTPUT_TOKENS: u32 = 120;

/// Returns an HTTP client for requests to hosts. The response timeout includes queueing time.
pub fn client_agent() -> Agent {
    unpooled_agent(Deadlines {
        connect: Duration::from_millis(500),
        response: Duration::from_secs(8),
        progress: Duration::from_secs(4),
    })
}

/// A client that requests generations.
pub struct GenerationClient {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Recorder of the outcomes.
    pub recorder: Arc<Recorder>,
    /// Stops the client when set.
    pub stop: Arc<AtomicBool>,
    /// Seed of the random choices.
    pub seed: u64,
}

/// The part of one generation that was received, over all tries.
struct Received {
    prompt: String,
    chain: u64,
    text: String,
    tokens: u32,
    last_id: Option<String>,
    /// True after a try whose outcome is unknown, because the connection broke or the host reported
    /// it as unknown.
    ambiguous: bool,
    /// Failures of the tries, to explain a violation.
    history: Vec<String>,
}

/// Result of one try.
enum TryResult {
    Done,
    Refused { not_run: bool, is_final: bool },
    NotSent,
    Broken,
}

impl GenerationClient {
    /// Requests generations until stopped.
    pub fn run(&self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let agent = client_agent();
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            let prompt = format!("caller {} request {count}: is the bump safe?", self.seed);
            self.recorder.start();
            let outcome = self.run_request(&agent, &mut rng, prompt);
            self.recorder.end(outcome);
        }
    }

    fn pick_host(&self, rng: &mut Pcg64Mcg) -> SocketAddr {
        let hosts = self.cluster.hosts();
        hosts[rng.random_range(0..hosts.len())].http
    }

    fn run_request(&self, agent: &Agent, rng: &mut Pcg64Mcg, prompt: String) -> Outcome {
        let chain = chain_start(&prompt);
        let text = String::new();
        let mut received = Received {
            prompt,
            chain,
            text,
            tokens: 0,
            last_id: None,
            ambiguous: false,
            history: Vec::new(),
        };
        let organisation = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
        let output_tokens = rng.random_range(3..MAX_OUTPUT_TOKENS);
        for _ in 0..MAX_TRIES {
            let host = self.pick_host(rng);
            match self.try_once(agent, host, organisation, output_tokens, &mut received) {
                TryResult::Done => {
                    let complete = received.tokens == output_tokens;
                    self.recorder.check(Invariant::TokensOnceInOrder, complete, || {
                        let (tokens, prompt) = (received.tokens, &received.prompt);
                        format!("{tokens} of {output_tokens} tokens for {prompt}")
                    });
                    return Outcome::Completed;
                }
                TryResult::Refused { not_run: true, .. } if !received.ambiguous => {
                    self.check_not_run(&received);
                    return Outcome::NotRun;
                }
                TryResult::Refused { is_final: true, .. } => return Outcome::Unknown,
                TryResult::Refused { not_run: true, .. } | TryResult::NotSent => {}
                TryResult::Refused { not_run: false, .. } | TryResult::Broken => {
                    received.ambiguous = true
                }
            }
            thread::sleep(RETRY_WAIT);
        }
        if received.ambiguous { Outcome::Unknown } else { Outcome::NotRun }
    }

    fn check_not_run(&self, received: &Received) {
        let start = chain_start(&received.prompt);
        let ran = self
            .cluster
            .engines
            .iter()
            .any(|handle| handle.engine.record().started.contains_key(&start));
        self.recorder.check(Invariant::NotRunWasNotRun, !ran, || {
            format!("an engine ran {}: {:?}", received.prompt, received.history)
        });
    }

    fn try_once(
        &self,
        agent: &Agent,
        host: SocketAddr,
        organisation: &str,
        output_tokens: u32,
        received: &mut Received,
    ) -> TryResult {
        let mut body = json!({
            "model": ROUTE,
            "prompt": received.prompt,
            "stream": true,
            "standin": { "output_tokens": output_tokens }
        });
        if received.last_id.is_some() {
            body["camphorloft"] = json!({ "delivered": received.text });
        }
        let mut call = agent
            .post(format!("http://{host}/v1/completions"))
            .header("authorization", format!("Bearer {}", organisation_key(organisation)))
            .header("connection", "close");
        if let Some(id) = &received.last_id {
            call = call.header("last-event-id", id);
        }
        let mut response = match call.send_json(&body) {
            Ok(response) => response,
            Err(err) if is_not_sent(&err) => return TryResult::NotSent,
            Err(err) => {
                received.history.push(format!("{host}: {err}"));
                return TryResult::Broken;
            }
        };
        if response.status() != 200 {
            let status = response.status().as_u16();
            return match response.body_mut().read_to_string() {
                Ok(text) => {
                    received.history.push(format!("{host}: {status} {text}"));
                    self.parse_refusal(status, &text)
                }
                Err(_) => TryResult::Broken,
            };
        }
        let mut events = EventReader::new(response.into_body().into_reader());
        loop {
            match events.next_event() {
                Ok(Some(event)) => match self.process_event(&event, received) {
                    Some(result) => return result,
                    None => continue,
                },
                Ok(None) | Err(_) => return TryResult::Broken,
            }
        }
    }

    /// Parses a problem+json body, which must state an outcome.
    fn parse_refusal(&self, status: u16, text: &str) -> TryResult {
        let problem: Value = serde_json::from_str(text).unwrap_or_default();
        let stated = matches!(problem["outcome"].as_str(), Some("not_run" | "unknown"));
        self.recorder.check(Invariant::EveryRequestEnds, stated, || {
            format!("status {status} states no outcome: {text}")
        });
        let not_run = problem["outcome"] == "not_run";
        let temporary = problem["retry_after"].is_u64() || status == 410 || status == 502;
        TryResult::Refused { not_run, is_final: !temporary }
    }

    /// Checks one event. Returns the result of the try if the event ends it.
    fn process_event(&self, event: &str, received: &mut Received) -> Option<TryResult> {
        let data = event_data(event).unwrap_or_default();
        if event.starts_with("event: error") {
            // The generation can be resumed after the received tokens, so this result is not final.
            self.parse_refusal(200, data);
            return Some(TryResult::Broken);
        }
        if data == "[DONE]" {
            return Some(TryResult::Done);
        }
        if event.starts_with(':') {
            return None;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let text = chunk["choices"][0]["text"].as_str().unwrap_or_default();
        let offset = chunk["offset"].as_u64();
        received.chain = chain_next(received.chain, text);
        let expected = format!("{:016x}", received.chain);
        let in_order = offset == Some(u64::from(received.tokens));
        let chain_matches = chunk["chain"].as_str() == Some(&expected);
        if !in_order || !chain_matches {
            self.recorder.check(Invariant::TokensOnceInOrder, false, || {
                format!("token {offset:?} where {} was due, chain {chain_matches}", received.tokens)
            });
        }
        received.text.push_str(text);
        received.tokens += 1;
        received.last_id = event_id(event).map(str::to_owned);
        None
    }
}
