//! Conditions on which a queued generation is admitted.

use std::time::Duration;

use camphorloft_types::prelude::EndpointIx;

/// Conditions on which a generation is admitted at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionTerms {
    /// Largest expected memory use of the engine with the generation added, as a fraction.
    pub max_fill: f64,
    /// Largest number of prompt tokens that the engine still has to prefill before it; `None` if no other
    /// generation comes before it and its organisation has not used more than its share.
    pub max_prefill: Option<u32>,
    /// Time until the first event is due.
    pub due: Duration,
    /// Maximum delay at an engine that limits requests.
    pub max_delay: Duration,
}

impl AdmissionTerms {
    pub(crate) fn allows_prefill(&self, tokens: u32) -> bool {
        self.max_prefill.is_none_or(|max| tokens <= max)
    }

    /// Returns true if no engine satisfies these terms on prefill that does not satisfy `other`.
    pub(crate) fn allows_no_more_prefill(&self, other: &Self) -> bool {
        other.max_prefill.is_none_or(|other| self.max_prefill.is_some_and(|max| max <= other))
    }

    /// Returns the engines that are left to other hosts, given those drawn for it. A generation that comes
    /// first may use any engine: hosts rarely have such a one at the same time.
    pub fn excluded<'e>(&self, left_to_others: &'e [EndpointIx]) -> &'e [EndpointIx] {
        match self.max_prefill {
            Some(_) => left_to_others,
            None => &[],
        }
    }
}
