//! Exit codes and errors.

use std::process::ExitCode;

use quick_error::quick_error;

quick_error! {
    /// Reason that a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// The command failed.
        Failed(what: String) {
            display("{}", what)
        }
        /// The input has findings.
        BadInput(what: String) {
            display("{}", what)
        }
        /// The request was refused and nothing ran.
        NotRun(what: String) {
            display("not run: {}", what)
        }
        /// The request may have run.
        Unknown(what: String) {
            display("outcome unknown: {}", what)
        }
    }
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Failed(_) => 1,
            CommandError::BadInput(_) => 2,
            CommandError::NotRun(_) => 3,
            CommandError::Unknown(_) => 4,
        })
    }
}

/// Result of a command.
pub type CommandResult = Result<(), CommandError>;
