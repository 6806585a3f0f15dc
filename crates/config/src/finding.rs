//! Problems found in an object set or in settings.

use std::fmt;

/// One problem, with its place and its remedy.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// File that was read, or `-` when the input had no file.
    pub file: String,
    /// JSON path of the value, for example `/routes/verdict/model`.
    pub path: String,
    /// What is wrong.
    pub what: String,
    /// What to change.
    pub remedy: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}; {}", self.file, self.path, self.what, self.remedy)
    }
}

/// Every problem of one input, in the order of its places.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Records a finding whose file is filled in later.
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

    /// Returns the findings with the name of the file that was read.
    pub fn in_file(mut self, file: &str) -> Self {
        for finding in &mut self.0 {
            finding.file = file.to_owned();
        }
        self
    }

    /// Returns true when nothing was found.
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
