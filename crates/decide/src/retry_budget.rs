//! Limits retries to a share of the requests.
//!
//! Each request deposits a fraction of a retry and each retry withdraws a whole one. Retries
//! therefore add at most a fixed share to the load, however many requests fail, and layers cannot
//! multiply them.

use std::collections::HashMap;

use camphorloft_types::prelude::{OrganisationIx, RouteIx};

/// Retries deposited by each request.
const RETRIES_PER_REQUEST: f32 = 0.2;
/// Largest balance, in retries.
const MAX_BALANCE: f32 = 20.0;

/// Retry budgets per organisation and route.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    balances: HashMap<(OrganisationIx, RouteIx), f32>,
}

impl RetryBudgets {
    /// Deposits the share of a retry for one request.
    pub fn deposit(&mut self, organisation: OrganisationIx, route: RouteIx) {
        let balance = self.balances.entry((organisation, route)).or_insert(MAX_BALANCE / 2.0);
        *balance = (*balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Withdraws a retry. Returns false when the balance is below one retry.
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
