//! Retries as a share of requests.
//!
//! Each request earns a part of a retry and each retry spends a whole one, so retries add at most
//! a fixed share to the load however many requests fail, and layers cannot multiply them.

use std::collections::HashMap;

use camphorloft_types::prelude::{OrganisationIx, RouteIx};

/// Retries earned by a request.
const RETRIES_PER_REQUEST: f32 = 0.2;
/// Largest number of retries saved up.
const MAX_BALANCE: f32 = 20.0;

/// Retry budgets per organisation and route.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    balances: HashMap<(OrganisationIx, RouteIx), f32>,
}

impl RetryBudgets {
    /// Counts a request.
    pub fn deposit(&mut self, organisation: OrganisationIx, route: RouteIx) {
        let balance = self.balances.entry((organisation, route)).or_insert(MAX_BALANCE / 2.0);
        *balance = (*balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes a retry if one is left.
    ///
    /// ```
    /// use camphorloft_decide::retry_budget::RetryBudgets;
    /// use camphorloft_types::prelude::{OrganisationIx, RouteIx};
    /// let mut budgets = RetryBudgets::default();
    /// let (organisation, route) = (OrganisationIx::from_u32(0), RouteIx::from_u32(0));
    /// assert!(!budgets.try_withdraw(organisation, route));
    /// budgets.deposit(organisation, route);
    /// assert!(budgets.try_withdraw(organisation, route));
    /// ```
    pub fn try_withdraw(&mut self, organisation: OrganisationIx, route: RouteIx) -> bool {
        let Some(balance) = self.balances.get_mut(&(organisation, route)) else { return false };
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
