//! The claim service of a host, on its own thread.
//!
//! Claims and outcomes that arrive while a transaction is under way share the next one (group
//! commit), and the host's budget spaces the transactions. A claim that could not be confirmed is
//! refused to the caller and released later, when the platform answers again.

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

/// Claims or outcomes in one transaction.
const MAX_BATCH_RECORDS: usize = 64;
/// Claims that may wait. Further ones are refused at once.
const MAX_WAITING_CLAIMS: usize = 1024;
/// Outcomes kept while the platform is down. Beyond that the oldest are dropped and read as
/// unknown by later callers.
const MAX_QUEUED_OUTCOMES: usize = 16 * 1024;
/// Time after which an undecided claim is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait before a failed transaction is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Wait between two tries of outcomes while nothing else happens.
const OUTCOME_RETRY_INTERVAL: Duration = Duration::from_millis(200);

enum Message {
    Claim(ClaimRequest, SyncSender<ClaimDecision>),
    Outcome(ClaimKey, ClaimRecord),
}

/// Sends claims and outcomes to the service.
#[derive(Clone)]
pub struct ClaimClient {
    tx: SyncSender<Message>,
}

impl ClaimClient {
    /// Asks for a claim and waits for its decision.
    pub fn claim(&self, request: ClaimRequest) -> ClaimDecision {
        let (reply, decision) = sync_channel(1);
        match self.tx.try_send(Message::Claim(request, reply)) {
            Ok(()) => decision.recv().unwrap_or(ClaimDecision::Unconfirmed),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                ClaimDecision::Unconfirmed
            }
        }
    }

    /// Records how a claimed call ended. It is written as soon as the platform answers.
    pub fn record(&self, key: ClaimKey, record: ClaimRecord) {
        // The channel is full only when the platform is down and many calls ended. The row then
        // stays `claimed`, which later callers read as unknown.
        let _ = self.tx.try_send(Message::Outcome(key, record));
    }
}

/// Starts the service. It ends when every client is dropped and its outcomes are written or the
/// platform does not answer.
pub fn start_claim_service<P>(platform: P, budget: CallBudget) -> ClaimClient
where
    P: PlatformApi,
{
    let (tx, rx) = sync_channel(MAX_WAITING_CLAIMS);
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

/// A claim with the channel of its caller.
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

    /// Waits for messages and gathers those that arrived. Returns false when no client is left.
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

    /// Decides one batch. Returns the claims that must wait for another one.
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

    /// Tells the caller. A caller that gave up leaves a claim that was not dispatched.
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

    /// Writes outcomes that wait. Returns false when the platform did not answer.
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

    /// Writes outcomes over their own claims only: a row of another nonce is left as it is.
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

/// Takes up to [`MAX_BATCH_RECORDS`] claims of different keys.
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
