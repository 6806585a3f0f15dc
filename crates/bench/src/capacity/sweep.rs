//! Table of the users' sweep, which plays one day at several numbers of hosts.

use std::fs;
use std::io;
use std::path::Path;

/// Start of the line above the table, which lists the sizes.
const CAPTION: &str = "middle / busiest or longest";
/// Start of the line after the table.
const FOOTNOTE: &str = "power:";
/// Columns after those of the sizes: the power of the growth, and the extrapolation to the target.
const FIXED_COLUMNS: usize = 2;

/// Table of the users' sweep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sweep {
    /// Numbers of hosts.
    sizes: Vec<String>,
    /// Number of hosts that the last column extrapolates to.
    target: String,
    rows: Vec<Row>,
}

/// A figure by number of hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Row {
    title: String,
    cells: Vec<String>,
}

impl Sweep {
    /// Reads the recorded output of a sweep.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or contains no table.
    pub fn read(path: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(path)?;
        Self::parse(&text)
            .ok_or_else(|| io::Error::other(format!("{} contains no sweep", path.display())))
    }

    fn parse(text: &str) -> Option<Self> {
        let mut lines = text.lines().skip_while(|line| !line.starts_with(CAPTION)).skip(1);
        let header = lines.next()?;
        let (sizes, target) = header.split_once("power")?;
        let sizes: Vec<String> = sizes.split_whitespace().map(str::to_owned).collect();
        let target = target.trim().strip_prefix("at")?.trim().to_owned();
        let mut rows = Vec::new();
        for line in lines.take_while(|line| !line.starts_with(FOOTNOTE)) {
            let mut cells = line.split("  ").map(str::trim).filter(|cell| !cell.is_empty());
            let title = cells.next()?.to_owned();
            let cells: Vec<String> = cells.map(str::to_owned).collect();
            if cells.len() != sizes.len() + FIXED_COLUMNS {
                return None;
            }
            rows.push(Row { title, cells });
        }
        (!sizes.is_empty() && !rows.is_empty()).then_some(Self { sizes, target, rows })
    }

    /// Returns the table in Markdown.
    pub fn to_markdown(&self) -> String {
        let mut text = String::from("| |");
        for size in &self.sizes {
            text.push_str(&format!(" {size} |"));
        }
        text.push_str(&format!(" power | at {} |\n|---|", self.target));
        text.push_str(&"---:|".repeat(self.sizes.len() + FIXED_COLUMNS));
        text.push('\n');
        for row in &self.rows {
            text.push_str(&format!("| {} | {} |\n", row.title, row.cells.join(" | ")));
        }
        text
    }
}

#[cfg(test)]
mod tests;
