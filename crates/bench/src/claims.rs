//! Measures the cost of claims: transactions, rows per transaction and the wait per claim.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use camphorloft_platform::budget::CallBudget;
use camphorloft_platform::claim::{ClaimDecision, ClaimKey, ClaimRecord, ClaimState};
use camphorloft_platform::claim_batch::ClaimRequest;
use camphorloft_platform::claims::{ClaimClient, start_claim_service};
use camphorloft_platform::http::HttpPlatform;
use camphorloft_standins::platform_http::start_platform;
use hdrhistogram::Histogram;
use serde::Serialize;

const MAX_MICROS: u64 = 60_000_000;
/// Burst size of the transaction budget.
const BURST: f64 = 4.0;

/// measure the cost of claims of one host
#[derive(FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct ClaimsArgs {
    /// number of concurrent clients (default 32)
    #[argh(option, default = "32")]
    callers: usize,
    /// maximum number of transactions of the host per second (default 37.5)
    #[argh(option, default = "37.5")]
    writes_per_second: f64,
    /// length of the run, in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// print one JSON object
    #[argh(switch)]
    json: bool,
}

#[derive(Serialize)]
struct ClaimsResult {
    callers: usize,
    writes_per_second: f64,
    claims_per_second: f64,
    transactions_per_second: f64,
    rows_per_transaction: f64,
    refused: u64,
    wait_ms_p50: f64,
    wait_ms_p95: f64,
    wait_ms_p99: f64,
}

/// Runs the measurement.
pub fn run(args: &ClaimsArgs) -> ExitCode {
    let platform = match start_platform(SocketAddr::from(([127, 0, 0, 1], 0))) {
        Ok(platform) => platform,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::FAILURE;
        }
    };
    let budget = CallBudget::new(args.writes_per_second, BURST, Instant::now());
    let client = start_claim_service(HttpPlatform::new(platform.addr), budget);
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let threads: Vec<_> = (0..args.callers)
        .map(|client_ix| {
            let client = client.clone();
            thread::spawn(move || make_claims(&client, client_ix, end))
        })
        .collect();
    let mut waits = Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
    let mut refused = 0;
    for thread in threads {
        let Ok((thread_waits, thread_refused)) = thread.join() else { continue };
        // Adding histograms with equal bounds does not fail.
        let _ = waits.add(&thread_waits);
        refused += thread_refused;
    }
    let counts = platform.platform.state().counts;
    let seconds = args.seconds as f64;
    let ms = |quantile| waits.value_at_quantile(quantile) as f64 / 1e3;
    let result = ClaimsResult {
        callers: args.callers,
        writes_per_second: args.writes_per_second,
        claims_per_second: waits.len() as f64 / seconds,
        transactions_per_second: counts.writes as f64 / seconds,
        rows_per_transaction: counts.rows as f64 / counts.writes.max(1) as f64,
        refused,
        wait_ms_p50: ms(0.50),
        wait_ms_p95: ms(0.95),
        wait_ms_p99: ms(0.99),
    };
    let text = if args.json {
        serde_json::to_string(&result)
    } else {
        serde_json::to_string_pretty(&result)
    };
    println!("{}", text.unwrap_or_default());
    ExitCode::SUCCESS
}

/// Makes claims until `end`. Returns the waits of granted claims, in microseconds, and the number
/// of claims that were not granted.
fn make_claims(client: &ClaimClient, client_ix: usize, end: Instant) -> (Histogram<u64>, u64) {
    let mut waits = Histogram::new_with_max(MAX_MICROS, 3).expect("the bounds are valid");
    let mut refused = 0;
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let request = request(client_ix, count);
        let started = Instant::now();
        match client.claim(request) {
            ClaimDecision::Granted => {
                waits.saturating_record(started.elapsed().as_micros() as u64);
            }
            ClaimDecision::Existing(_) | ClaimDecision::Unconfirmed => refused += 1,
        }
    }
    (waits, refused)
}

fn request(client_ix: usize, count: u64) -> ClaimRequest {
    let organisation = "organisation".parse().expect("a valid name");
    let service = "booking".parse().expect("a valid name");
    let nonce = format!("{client_ix}-{count}");
    ClaimRequest {
        key: ClaimKey::new(&organisation, &service, &nonce),
        record: ClaimRecord {
            nonce,
            host: "host".parse().expect("a valid name"),
            started_ms: 1,
            fingerprint: "f".to_owned(),
            state: ClaimState::Claimed,
        },
    }
}
