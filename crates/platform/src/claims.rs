//! Claim service of a host, on its own thread.
//!
//! Claims and outcomes that arrive during a transaction share the next one (group commit), and the
//! host's call budget limits the rate of transactions. A claim that could not be confirmed is
//! rejected, and released later when the platform is available again.

use std::collections::HashMap;
use std::mem;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::api::{PlatformApi, PlatformError, Table, TransactOutcome};
use crate::budget::{CallBudget, CallClass};
use crate::claim::{ClaimDecision, ClaimKey, ClaimRecord, ClaimState};
use crate::claim_batch::{ClaimBatch, ClaimRequest};
use crate::wire::{Expect, Write};

/// Maximum number of claims or outcomes in one transaction.
const MAX_BATCH_RECORDS: usize = 64;
/// Maximum number of claims and outcomes waiting for the service. Further claims are rejected
/// immediately.
const MAX_WAITING_MESSAGES: usize = 1024;
/// Maximum number of outcomes queued while the platform is unavailable. Further outcomes are
/// dropped, and later clients receive the outcome as unknown.
const MAX_QUEUED_OUTCOMES: usize = 16 * 1024;
/// Timeout after which an undecided claim is rejected.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed transaction is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between attempts to write outcomes while no message arrives.
const OUTCOME_RETRY_INTERVAL: Duration = Duration::from_millis(200);

enum Message {
    Claim(ClaimRequest, SyncSender<ClaimDecision>),
    Outcome(ClaimKey, ClaimRecord),
}

/// Handle that sends claims and outcomes to the service.
#[derive(Clone)]
pub struct ClaimClient {
    tx: SyncSender<Message>,
}

impl ClaimClient {
    /// Requests a claim and blocks until it is decided.
    pub fn claim(&self, request: ClaimRequest) -> ClaimDecision {
        let (reply, decision) = sync_channel(1);
        match self.tx.try_send(Message::Claim(request, reply)) {
            Ok(()) => decision.recv().unwrap_or(ClaimDecision::Unconfirmed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                ClaimDecision::Unconfirmed
            }
        }
    }

    /// Records the outcome of a claimed call. It is written as soon as the platform is available.
    pub fn record(&self, key: ClaimKey, record: ClaimRecord) {
        // The channel is full only when the platform is unavailable and many calls have ended. The
        // row then stays `claimed`, and later clients receive the outcome as unknown.
        let _ = self.tx.try_send(Message::Outcome(key, record));
    }
}

/// Starts the service. It stops when every client is dropped and all queued outcomes are written.
pub fn start_claim_service<P>(platform: P, budget: CallBudget) -> ClaimClient
where
    P: PlatformApi,
{
    let (tx, rx) = sync_channel(MAX_WAITING_MESSAGES);
    let mut worker = Worker { platform, budget, rx, outcomes: HashMap::new() };
    thread::spawn(move || worker.run());
    ClaimClient { tx }
}

struct Worker<P> {
    platform: P,
    budget: CallBudget,
    rx: Receiver<Message>,
    outcomes: HashMap<ClaimKey, ClaimRecord>,
}

/// A claim that waits for its decision, with the channel for the reply.
struct WaitingClaim {
    request: ClaimRequest,
    reply: SyncSender<ClaimDecision>,
    received_at: Instant,
}

impl<P> Worker<P>
where
    P: PlatformApi,
{
    fn run(&mut self) {
        let mut waiting = Vec::new();
        loop {
            let open = self.receive(&mut waiting);
            if !waiting.is_empty() {
                waiting = self.decide(waiting);
            }
            let written = self.write_outcomes();
            if !open && (written || self.outcomes.is_empty()) {
                return;
            }
        }
    }

    /// Waits for messages and collects those that have arrived. Returns false when every client was
    /// dropped.
    fn receive(&mut self, waiting: &mut Vec<WaitingClaim>) -> bool {
        let wait = if waiting.is_empty() { OUTCOME_RETRY_INTERVAL } else { Duration::ZERO };
        let mut next = match self.rx.recv_timeout(wait) {
            Ok(message) => Some(message),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return false,
        };
        while let Some(message) = next {
            match message {
                Message::Claim(request, reply) => {
                    waiting.push(WaitingClaim { request, reply, received_at: Instant::now() });
                }
                Message::Outcome(key, record) => self.queue_outcome(key, record),
            }
            next = self.rx.try_recv().ok();
        }
        true
    }

    fn queue_outcome(&mut self, key: ClaimKey, record: ClaimRecord) {
        if self.outcomes.len() < MAX_QUEUED_OUTCOMES {
            self.outcomes.insert(key, record);
        }
    }

    /// Decides one batch. Returns the claims that must wait for the next one.
    fn decide(&mut self, waiting: Vec<WaitingClaim>) -> Vec<WaitingClaim> {
        let (batch, rest) = split_batch(waiting);
        let requests = batch.iter().map(|w| w.request.clone()).collect();
        let oldest = batch.iter().map(|w| w.received_at).min().unwrap_or_else(Instant::now);
        let (decided, may_be_applied) = self.run_batch(ClaimBatch::new(requests), oldest);
        for (waiting, (request, decision)) in batch.into_iter().zip(decided) {
            if decision == ClaimDecision::Unconfirmed && may_be_applied {
                let record = ClaimRecord { state: ClaimState::Released, ..request.record };
                self.queue_outcome(request.key, record);
            }
            self.reply(&waiting, decision);
        }
        rest
    }

    /// Replies to the client. If it no longer waits, its call was not dispatched and a granted claim
    /// is released.
    fn reply(&mut self, waiting: &WaitingClaim, decision: ClaimDecision) {
        let granted = decision == ClaimDecision::Granted;
        if waiting.reply.send(decision).is_err() && granted {
            let request = &waiting.request;
            let record = ClaimRecord { state: ClaimState::Released, ..request.record.clone() };
            self.queue_outcome(request.key.clone(), record);
        }
    }

    fn run_batch(
        &mut self,
        mut batch: ClaimBatch,
        oldest: Instant,
    ) -> (Vec<(ClaimRequest, ClaimDecision)>, bool) {
        let deadline = oldest + CLAIM_TIMEOUT;
        while Instant::now() < deadline {
            let writes = batch.writes();
            if writes.is_empty() {
                break;
            }
            thread::sleep(self.budget.wait(CallClass::Claim, Instant::now()));
            if !self.budget.try_take(CallClass::Claim, Instant::now()) {
                continue;
            }
            match self.platform.transact(Table::Claims, &writes) {
                Ok(TransactOutcome::Applied) => batch.handle_applied(),
                Ok(TransactOutcome::Conflicts(conflicts)) => batch.handle_conflicts(&conflicts),
                Err(PlatformError::Ambiguous(_)) => {
                    batch.handle_lost_response();
                    thread::sleep(RETRY_DELAY);
                }
                Err(_) => thread::sleep(RETRY_DELAY),
            }
        }
        batch.finish()
    }

    /// Writes the queued outcomes. Returns false when some were not written because the budget is
    /// exhausted or the platform did not confirm them.
    fn write_outcomes(&mut self) -> bool {
        while !self.outcomes.is_empty() {
            if !self.budget.try_take(CallClass::Claim, Instant::now()) {
                return false;
            }
            let keys: Vec<ClaimKey> =
                self.outcomes.keys().take(MAX_BATCH_RECORDS).cloned().collect();
            if !self.write_outcome_batch(&keys) {
                return false;
            }
            for key in keys {
                self.outcomes.remove(&key);
            }
        }
        true
    }

    /// Writes outcomes only over their own claims; rows with another nonce are left unchanged.
    fn write_outcome_batch(&mut self, keys: &[ClaimKey]) -> bool {
        let mut writes = Vec::new();
        for key in keys {
            let record = &self.outcomes[key];
            match self.platform.read(Table::Claims, key.as_str()) {
                Ok(Some(row)) => {
                    let own = serde_json::from_str::<ClaimRecord>(&row.value)
                        .is_ok_and(|stored| stored.nonce == record.nonce);
                    if own {
                        let value = serde_json::to_string(record).ok();
                        let expect = Expect::Version(row.version);
                        writes.push(Write { key: key.as_str().to_owned(), expect, value });
                    }
                }
                Ok(None) => {}
                Err(_) => return false,
            }
        }
        if writes.is_empty() {
            return true;
        }
        matches!(self.platform.transact(Table::Claims, &writes), Ok(TransactOutcome::Applied))
    }
}

/// Splits off a batch of up to [`MAX_BATCH_RECORDS`] claims with distinct keys. Returns the batch
/// and the remaining claims.
fn split_batch(waiting: Vec<WaitingClaim>) -> (Vec<WaitingClaim>, Vec<WaitingClaim>) {
    let mut batch: Vec<WaitingClaim> = Vec::new();
    let mut rest = Vec::new();
    for claim in waiting {
        let repeated = batch.iter().any(|other| other.request.key == claim.request.key);
        if repeated || batch.len() >= MAX_BATCH_RECORDS {
            rest.push(claim);
        } else {
            batch.push(claim);
        }
    }
    (mem::take(&mut batch), rest)
}
