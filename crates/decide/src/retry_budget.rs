//! Retries as a share of requests.
//!
//! Each request earns a part of a retry and each retry spends a whole one, so retries add at most
//! a fixed share to the load however many requests fail, and layers cannot multiply them.

use std::collections::HashMap;

use camphorloft_types::prelude::{OrganisationIx, RouteIx};

/// Retries earned by a request.
const EARNED: f32 = 0.2;
/// Largest number of retries saved up.
const MAX_SAVED: f32 = 20.0;

/// Retry budgets per organisation and route.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    saved: HashMap<(OrganisationIx, RouteIx), f32>,
}

impl RetryBudgets {
    /// Counts a request.
    pub fn earn(&mut self, organisation: OrganisationIx, route: RouteIx) {
        let saved = self.saved.entry((organisation, route)).or_insert(MAX_SAVED / 2.0);
        *saved = (*saved + EARNED).min(MAX_SAVED);
    }

    /// Takes a retry if one is left.
    ///
    /// ```
    /// use camphorloft_decide::retry_budget::RetryBudgets;
    /// use camphorloft_types::prelude::{OrganisationIx, RouteIx};
    /// let mut budgets = RetryBudgets::default();
    /// let (organisation, route) = (OrganisationIx::from_u32(0), RouteIx::from_u32(0));
    /// assert!(!budgets.try_spend(organisation, route));
    /// budgets.earn(organisation, route);
    /// assert!(budgets.try_spend(organisation, route));
    /// ```
    pub fn try_spend(&mut self, organisation: OrganisationIx, route: RouteIx) -> bool {
        let Some(saved) = self.saved.get_mut(&(organisation, route)) else { return false };
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
