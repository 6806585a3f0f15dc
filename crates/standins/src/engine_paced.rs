//! Streams with a fixed interval between tokens, for measurements of the relay.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use camphorloft_engine::completion::{CompletionBody, DONE};
use camphorloft_http::event_stream::EventStream;
use tiny_http::Request;

use crate::engine_http::StandinHints;
use crate::engine_state::SequenceOutput;

/// Streams tokens at a fixed interval, the first one immediately.
pub(crate) fn stream_paced(
    req: Request,
    body: &CompletionBody,
    interval: Duration,
    stop: &AtomicBool,
) {
    let tokens = StandinHints::of(body).output_tokens.unwrap_or(1);
    let Ok(mut stream) = EventStream::start(req, &[]) else { return };
    let mut output = SequenceOutput::paced(&body.prompt);
    let mut due = Instant::now();
    for ordinal in 1..=tokens {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due += interval;
        let event = output.next_event(ordinal == tokens);
        if stop.load(Ordering::Relaxed) || stream.send(event.as_bytes()).is_err() {
            return;
        }
    }
    // The client may have disconnected after the last token.
    let _ = stream.send(format!("data: {DONE}\n\n").as_bytes());
    stream.finish();
}
