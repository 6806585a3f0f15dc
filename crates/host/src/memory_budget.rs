//! Memory that bodies of one kind use together.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;

/// Memory that bodies of one kind use together, and its limit.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    /// Shared with the bytes that shares hold, which may be dropped on any thread.
    used: Arc<AtomicU64>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// Returns the limit, in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
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
    pub fn share(&self) -> BudgetShare {
        BudgetShare { limit: self.limit, used: self.used.clone(), bytes: 0 }
    }
}

/// Memory that one body uses, until dropped.
#[derive(Debug)]
pub struct BudgetShare {
    limit: u64,
    used: Arc<AtomicU64>,
    bytes: u64,
}

impl BudgetShare {
    /// Adds bytes to the share. Returns false, and adds nothing, if the budget does not allow it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if self.used.load(Ordering::Relaxed).saturating_add(bytes) > self.limit {
            return false;
        }
        self.used.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        true
    }

    /// Changes the size of the share. Returns false, and changes nothing, if the budget does not allow it.
    ///
    /// ```
    /// use camphorloft_host::memory_budget::MemoryBudget;
    /// let budget = MemoryBudget::new(10);
    /// let mut share = budget.share();
    /// assert!(share.resize(9) && share.resize(4) && !share.resize(11));
    /// assert_eq!(budget.used(), 4);
    /// ```
    pub fn resize(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if bytes > self.bytes {
            return self.grow((bytes - self.bytes) as usize);
        }
        self.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Returns the bytes of the body, which keep the share until the last reference to them is dropped.
    ///
    /// ```
    /// use camphorloft_host::memory_budget::MemoryBudget;
    /// let budget = MemoryBudget::new(10);
    /// let mut share = budget.share();
    /// assert!(share.grow(4));
    /// let body = share.hold("body".into());
    /// let sent = body.clone();
    /// drop(body);
    /// assert_eq!(budget.used(), 4);
    /// drop(sent);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn hold(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(HeldBytes { bytes, _share: self }),
        }
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with the share that they use.
struct HeldBytes {
    bytes: Bytes,
    _share: BudgetShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
