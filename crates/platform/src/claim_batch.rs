//! Decides claims in shared transactions. Does no I/O.
//!
//! A batch is sent as one transaction until every claim in it is decided. The transaction is all
//! or nothing, so the failed conditions of an answer decide some claims and the rest are sent
//! again. A lost answer is harmless: a claim that landed shows up as a conflict with its own
//! nonce.

use crate::claim::{ClaimDecision, ClaimKey, ClaimRecord, ClaimState};
use crate::wire::{Conflict, Expect, Write};

/// A claim that waits for its decision.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Key.
    pub key: ClaimKey,
    /// Record to write.
    pub record: ClaimRecord,
}

struct Pending {
    request: ClaimRequest,
    expect: Expect,
    decision: Option<ClaimDecision>,
}

/// Claims that share transactions.
pub struct ClaimBatch {
    pending: Vec<Pending>,
    /// For each write of the last transaction, the position of its claim.
    sent: Vec<usize>,
    /// True when an answer was lost, after which any undecided claim may have landed.
    may_be_applied: bool,
}

impl ClaimBatch {
    /// Builds a batch. Of two requests for one key the later must wait for another batch.
    pub fn new(requests: Vec<ClaimRequest>) -> Self {
        let pending_claim = |request| Pending { request, expect: Expect::Absent, decision: None };
        let pending = requests.into_iter().map(pending_claim).collect();
        Self { pending, sent: Vec::new(), may_be_applied: false }
    }

    /// Returns the writes to send, none when every claim is decided.
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

    /// Takes the answer that all writes were applied.
    pub fn handle_applied(&mut self) {
        for ix in &self.sent {
            self.pending[*ix].decision = Some(ClaimDecision::Granted);
        }
    }

    /// Takes the failed conditions of an answer.
    pub fn handle_conflicts(&mut self, conflicts: &[Conflict]) {
        for conflict in conflicts {
            let Some(ix) = self.sent.get(conflict.index) else { continue };
            self.pending[*ix].decide(conflict);
        }
    }

    /// Takes the loss of an answer.
    pub fn handle_lost_response(&mut self) {
        self.may_be_applied = true;
    }

    /// Returns every claim with its decision, and whether an unconfirmed one may have landed.
    pub fn finish(self) -> (Vec<(ClaimRequest, ClaimDecision)>, bool) {
        let unconfirmed = ClaimDecision::Unconfirmed;
        let decided = self.pending.into_iter();
        let decided = decided.map(|p| (p.request, p.decision.unwrap_or(unconfirmed.clone())));
        (decided.collect(), self.may_be_applied)
    }
}

impl Pending {
    /// Decides a claim by the row that stands in its place.
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
            // Its holder never dispatched the call and never will.
            self.expect = Expect::Version(row.version);
        } else {
            self.decision = Some(ClaimDecision::Existing(record));
        }
    }
}
