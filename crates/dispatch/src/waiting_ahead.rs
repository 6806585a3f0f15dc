//! What waits before a generation in the queue.

use crate::admission_terms::AdmissionTerms;
use crate::queued_work::QueuedWork;

/// The generations that were found not to fit during a pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingAhead {
    /// Memory that they need, in tokens.
    pub(crate) tokens: u64,
    /// Smallest memory needs of one that did not fit, with the condition.
    blocked: Vec<(u64, AdmissionTerms)>,
}

impl WaitingAhead {
    pub(crate) fn add(&mut self, work: &QueuedWork, terms: &AdmissionTerms) {
        if work.is_restricted {
            return;
        }
        self.tokens += work.tokens();
        if !self.blocks(work, terms) {
            self.blocked.push((work.tokens(), *terms));
        }
    }

    /// Returns true if one that needs no more memory did not fit on conditions as good as these.
    pub(crate) fn blocks(&self, work: &QueuedWork, terms: &AdmissionTerms) -> bool {
        let tokens = work.tokens();
        self.blocked.iter().any(|(least, better)| {
            *least <= tokens
                && terms.max_fill <= better.max_fill
                && terms.allows_no_more_prefill(better)
        })
    }
}
