//! Exit codes and errors.

use std::process::ExitCode;

use quick_error::quick_error;

quick_error! {
    /// Reason for which a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// The command failed.
        Failed(message: String) {
            display("{}", message)
        }
        /// The input is invalid.
        BadInput(message: String) {
            display("{}", message)
        }
        /// The request was refused and nothing ran.
        NotRun(message: String) {
            display("not run: {}", message)
        }
        /// The request may have run.
        Unknown(message: String) {
            display("outcome unknown: {}", message)
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
