//! Logs rows and messages that are left out, because they do not have the documented form.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;

use slog::{Logger, warn};

/// Maximum number of rows and messages that are logged. Others may write any number of them.
const MAX_LOGGED: usize = 64;
/// Maximum length of an error in the log, in characters. It may contain a part of the input.
const MAX_ERROR_CHARS: usize = 120;

/// Logs each row or sender of a message that is left out once, up to a number of them.
#[derive(Debug)]
pub struct InvalidInputs {
    log: Logger,
    logged: RefCell<BTreeSet<(&'static str, String)>>,
}

impl InvalidInputs {
    /// Returns one that has logged nothing.
    pub fn new(log: Logger) -> Self {
        Self { log, logged: RefCell::default() }
    }

    /// Logs that an input is left out. `source` is its table or the kind of message, and `name` its key or sender.
    pub fn record<Error>(&self, source: &'static str, name: &str, err: &Error)
    where
        Error: Display,
    {
        let mut logged = self.logged.borrow_mut();
        if logged.len() >= MAX_LOGGED || !logged.insert((source, name.to_owned())) {
            return;
        }
        let error: String = err.to_string().chars().take(MAX_ERROR_CHARS).collect();
        warn!(self.log, "invalid input left out"; "source" => source, "name" => name,
            "error" => error, "is_last_logged" => logged.len() == MAX_LOGGED);
    }

    /// Returns a decoded input, or `None` after logging its error.
    pub fn accept<Item, Error>(
        &self,
        source: &'static str,
        name: &str,
        decoded: Result<Item, Error>,
    ) -> Option<Item>
    where
        Error: Display,
    {
        decoded.inspect_err(|err| self.record(source, name, err)).ok()
    }
}
