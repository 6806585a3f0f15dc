//! Batches of claims that share transactions. Does no I/O.
//!
//! The undecided claims of a batch are sent in one transaction, repeatedly, until every claim is
//! decided. The transaction is atomic: when conditions fail, their conflicts decide some claims, and
//! the remaining ones are sent again. A lost response is safe, because a claim that was applied
//! appears as a conflict with its own nonce.

use crate::claim::{ClaimDecision, ClaimKey, ClaimRecord, ClaimState};
use crate::wire::{Conflict, Expect, Write};

/// A request for a claim.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Key.
    pub key: ClaimKey,
    /// Record to store.
    pub record: ClaimRecord,
}

struct Pending {
    request: ClaimRequest,
    expect: Expect,
    decision: Option<ClaimDecision>,
}

/// A batch of claims that share transactions.
pub struct ClaimBatch {
    pending: Vec<Pending>,
    /// Position of the claim in `pending`, for each write of the last transaction.
    sent: Vec<usize>,
    /// True when a response was lost. Any undecided claim may then have been applied.
    may_be_applied: bool,
}

impl ClaimBatch {
    /// Creates a batch. The keys of the requests must be distinct; a second request for a key must
    /// wait for a later batch.
    pub fn new(requests: Vec<ClaimRequest>) -> Self {
        let pending_claim = |request| Pending { request, expect: Expect::Absent, decision: None };
        let pending = requests.into_iter().map(pending_claim).collect();
        Self { pending, sent: Vec::new(), may_be_applied: false }
    }

    /// Returns the writes of the next transaction; empty when every claim is decided.
    pub fn writes(&mut self) -> Vec<Write> {
        self.sent.clear();
        let mut writes = Vec::new();
        for (ix, pending) in self.pending.iter().enumerate() {
            if pending.decision.is_some() {
                continue;
            }
            self.sent.push(ix);
            let value = serde_json::to_string(&pending.request.record).unwrap_or_default();
            let key = pending.request.key.as_str().to_owned();
            writes.push(Write { key, expect: pending.expect, value: Some(value) });
        }
        writes
    }

    /// Handles the response that all writes were applied.
    pub fn handle_applied(&mut self) {
        for ix in &self.sent {
            self.pending[*ix].decision = Some(ClaimDecision::Granted);
        }
    }

    /// Handles the response that conditions failed.
    pub fn handle_conflicts(&mut self, conflicts: &[Conflict]) {
        for conflict in conflicts {
            let Some(ix) = self.sent.get(conflict.index) else { continue };
            self.pending[*ix].decide(conflict);
        }
    }

    /// Handles the loss of a response.
    pub fn handle_lost_response(&mut self) {
        self.may_be_applied = true;
    }

    /// Returns every claim with its decision, and whether an unconfirmed one may have been applied.
    pub fn finish(self) -> (Vec<(ClaimRequest, ClaimDecision)>, bool) {
        let unconfirmed = ClaimDecision::Unconfirmed;
        let decided = self.pending.into_iter();
        let decided = decided.map(|p| (p.request, p.decision.unwrap_or(unconfirmed.clone())));
        (decided.collect(), self.may_be_applied)
    }
}

impl Pending {
    /// Decides the claim from the existing row.
    fn decide(&mut self, conflict: &Conflict) {
        let Some(row) = &conflict.row else {
            self.expect = Expect::Absent;
            return;
        };
        let Ok(record) = serde_json::from_str::<ClaimRecord>(&row.value) else {
            self.decision = Some(ClaimDecision::Unconfirmed);
            return;
        };
        if record.nonce == self.request.record.nonce {
            self.decision = Some(ClaimDecision::Granted);
        } else if record.state == ClaimState::Released {
            // The holder has not dispatched the call and never will.
            self.expect = Expect::Version(row.version);
        } else {
            self.decision = Some(ClaimDecision::Existing(record));
        }
    }
}
