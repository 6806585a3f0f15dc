//! Problems found in an object set or in settings.

use std::fmt;

/// One problem, with its location and its remedy.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// Name of the input file, or `-` if the input is not a file.
    pub file: String,
    /// JSON path of the value, for example `/routes/verdict/model`, or the line and column of a
    /// syntax error.
    pub path: String,
    /// Description of the problem.
    pub what: String,
    /// Change that resolves the problem.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}; {}", self.file, self.path, self.what, self.remedy)
    }
}

/// Every problem of one input, in the order in which the checks found them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding without a file name; [`Findings::in_file`] sets it.
    pub fn push<Path, What, Remedy>(&mut self, path: Path, what: What, remedy: Remedy)
    where
        Path: Into<String>,
        What: Into<String>,
        Remedy: Into<String>,
    {
        self.0.push(Finding {
            file: "-".to_owned(),
            path: path.into(),
            what: what.into(),
            remedy: remedy.into(),
        });
    }

    /// Sets the file name of all findings.
    pub fn in_file(mut self, file: &str) -> Self {
        for finding in &mut self.0 {
            finding.file = file.to_owned();
        }
        self
    }

    /// Returns true when there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} finding(s)", self.0.len())
    }
}

impl std::error::Error for Findings {}
