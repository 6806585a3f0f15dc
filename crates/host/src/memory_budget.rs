//! Memory that bodies of one kind use together.

use std::cell::Cell;

/// Memory that bodies of one kind use together, and its limit.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    used: Cell<u64>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: Cell::new(0) }
    }

    /// Returns the limit, in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> u64 {
        self.used.get()
    }

    /// Returns an empty share, for one body.
    ///
    /// ```
    /// use camphorloft_host::memory_budget::MemoryBudget;
    /// let budget = MemoryBudget::new(10);
    /// let mut share = budget.share();
    /// assert!(share.grow(8));
    /// assert!(!budget.share().grow(3), "the other share uses most of it");
    /// drop(share);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn share(&self) -> BudgetShare<'_> {
        BudgetShare { budget: self, bytes: 0 }
    }
}

/// Memory that one body uses, until dropped.
#[derive(Debug)]
pub struct BudgetShare<'a> {
    budget: &'a MemoryBudget,
    bytes: u64,
}

impl BudgetShare<'_> {
    /// Adds bytes to the share. Returns false, and adds nothing, if the budget does not allow it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let used = self.budget.used.get().saturating_add(bytes);
        if used > self.budget.limit {
            return false;
        }
        self.budget.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for BudgetShare<'_> {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
