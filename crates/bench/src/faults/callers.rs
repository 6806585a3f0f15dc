//! Callers that ask for generations and check every token.

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
use super::ledger::{Ended, Ledger, Promise};

/// Times that a broken answer is asked for again.
const MAX_TRIES: u32 = 30;
/// Wait between two tries.
const RETRY_WAIT: Duration = Duration::from_millis(250);
const MAX_OUTPUT_TOKENS: u32 = 120;

/// Deadlines of a caller. The response may wait for a place.
pub fn caller_agent() -> Agent {
    unpooled_agent(Deadlines {
        connect: Duration::from_millis(500),
        response: Duration::from_secs(8),
        progress: Duration::from_secs(4),
    })
}

/// One caller of generations.
pub struct GenerationCaller {
    /// The cluster.
    pub cluster: Arc<Cluster>,
    /// Results.
    pub ledger: Arc<Ledger>,
    /// Ends the caller.
    pub stop: Arc<AtomicBool>,
    /// Seed of its choices.
    pub seed: u64,
}

/// What arrived of one generation.
struct Received {
    prompt: String,
    chain: u64,
    text: String,
    tokens: u32,
    last_id: Option<String>,
    /// True once a try was sent whose fate the caller does not know, or was told is unknown.
    ambiguous: bool,
    /// What became of each try, to explain a violation.
    history: Vec<String>,
}

/// How one try ended.
enum Try {
    Done,
    Refused { not_run: bool, final_answer: bool },
    NotSent,
    Broken,
}

impl GenerationCaller {
    /// Asks for generations until stopped.
    pub fn run(&self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let agent = caller_agent();
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            let prompt = format!("caller {} request {count}: is the bump safe?", self.seed);
            self.ledger.begin();
            let ended = self.ask(&agent, &mut rng, prompt);
            self.ledger.end(ended);
        }
    }

    fn pick_host(&self, rng: &mut Pcg64Mcg) -> SocketAddr {
        let hosts = self.cluster.hosts();
        hosts[rng.random_range(0..hosts.len())].http
    }

    fn ask(&self, agent: &Agent, rng: &mut Pcg64Mcg, prompt: String) -> Ended {
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
                Try::Done => {
                    let whole = received.tokens == output_tokens;
                    self.ledger.check(Promise::TokensOnceInOrder, whole, || {
                        let (tokens, prompt) = (received.tokens, &received.prompt);
                        format!("{tokens} of {output_tokens} tokens for {prompt}")
                    });
                    return Ended::Completed;
                }
                Try::Refused { not_run: true, .. } if !received.ambiguous => {
                    self.check_not_run(&received);
                    return Ended::NotRun;
                }
                Try::Refused { final_answer: true, .. } => return Ended::Unknown,
                Try::Refused { not_run: true, .. } | Try::NotSent => {}
                Try::Refused { not_run: false, .. } | Try::Broken => received.ambiguous = true,
            }
            thread::sleep(RETRY_WAIT);
        }
        if received.ambiguous { Ended::Unknown } else { Ended::NotRun }
    }

    fn check_not_run(&self, received: &Received) {
        let start = chain_start(&received.prompt);
        let ran = self
            .cluster
            .engines
            .iter()
            .any(|handle| handle.engine.record().started.contains_key(&start));
        self.ledger.check(Promise::NotRunWasNotRun, !ran, || {
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
    ) -> Try {
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
            Err(err) if is_not_sent(&err) => return Try::NotSent,
            Err(err) => {
                received.history.push(format!("{host}: {err}"));
                return Try::Broken;
            }
        };
        if response.status() != 200 {
            let status = response.status().as_u16();
            return match response.body_mut().read_to_string() {
                Ok(text) => {
                    received.history.push(format!("{host}: {status} {text}"));
                    self.refusal(status, &text)
                }
                Err(_) => Try::Broken,
            };
        }
        let mut events = EventReader::new(response.into_body().into_reader());
        loop {
            match events.next_event() {
                Ok(Some(event)) => match self.take_event(&event, received) {
                    Some(ended) => return ended,
                    None => continue,
                },
                Ok(None) | Err(_) => return Try::Broken,
            }
        }
    }

    /// Reads problem+json, which must state one of the outcomes.
    fn refusal(&self, status: u16, text: &str) -> Try {
        let problem: Value = serde_json::from_str(text).unwrap_or_default();
        let stated = matches!(problem["outcome"].as_str(), Some("not_run" | "unknown"));
        self.ledger.check(Promise::EveryRequestEnds, stated, || {
            format!("status {status} states no outcome: {text}")
        });
        let not_run = problem["outcome"] == "not_run";
        let temporary = problem["retry_after"].is_u64() || status == 410 || status == 502;
        Try::Refused { not_run, final_answer: !temporary }
    }

    /// Checks one event. Returns the end of the try, if it is one.
    fn take_event(&self, event: &str, received: &mut Received) -> Option<Try> {
        let data = event_data(event).unwrap_or_default();
        if event.starts_with("event: error") {
            // The tokens that arrived can be continued, so the end is not final.
            self.refusal(200, data);
            return Some(Try::Broken);
        }
        if data == "[DONE]" {
            return Some(Try::Done);
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
        let own = chunk["chain"].as_str() == Some(&expected);
        if !in_order || !own {
            self.ledger.check(Promise::TokensOnceInOrder, false, || {
                format!("token {offset:?} where {} was due, chain {own}", received.tokens)
            });
        }
        received.text.push_str(text);
        received.tokens += 1;
        received.last_id = event_id(event).map(str::to_owned);
        None
    }
}
