//! Checks a configuration of the entry hosts.

use std::fs;
use std::path::Path;

use camphorloft_config::Findings;
use camphorloft_platform_adapter::boot::Boot;
use camphorloft_platform_adapter::located_config::LocatedConfig;
use camphorloft_serving::check::check;
use camphorloft_serving::prelude::*;
use serde_json::{Value, json};

use crate::exit::{CommandError, CommandResult};

/// Returns true if a file can be read and looks like a configuration of the entry hosts.
pub fn is_document(path: &Path) -> bool {
    fs::read(path).is_ok_and(|bytes| LocatedConfig::is_document(&bytes))
}

/// Checks a file and prints the findings, and the differences from the configuration in force if given.
pub fn run(
    file: &Path,
    in_force: Option<&Path>,
    settings: Option<&Path>,
    json: bool,
) -> CommandResult {
    let settings = settings.map(read_settings).transpose()?;
    let in_force = match in_force {
        Some(path) => Some(parse(path)?.map_err(|err| bad_input(path, err))?),
        None => None,
    };
    let (mut report, version) = match parse(file)? {
        Ok(config) => {
            let known = in_force.as_ref().map(|config| &config.raw);
            let mut report = check(&config.raw, known, settings.as_ref());
            for finding in report.errors.0.iter_mut().chain(&mut report.warnings.0) {
                finding.path = config.path(&finding.path);
            }
            for change in &mut report.changes {
                change.path = config.path(&change.path);
            }
            (report, Some(config.raw.version))
        }
        Err(errors) => (CheckReport { errors, ..CheckReport::default() }, None),
    };
    let name = file.display().to_string();
    report.errors = report.errors.in_file(&name);
    report.warnings = report.warnings.in_file(&name);
    let in_force = in_force.map(|config| config.raw.version);
    match json {
        true => println!("{}", to_json(&report, version, in_force)),
        false => print_text(&report, in_force, settings.is_some()),
    }
    let counts = format!(
        "{name}: {} error(s), {} warning(s)",
        report.errors.0.len(),
        report.warnings.0.len()
    );
    match (report.errors.is_empty(), report.warnings.is_empty()) {
        (true, true) => Ok(()),
        (true, false) => Err(CommandError::Failed(counts)),
        (false, _) => Err(CommandError::BadInput(counts)),
    }
}

fn bad_input(path: &Path, findings: Findings) -> CommandError {
    CommandError::BadInput(findings.in_file(&path.display().to_string()).to_string())
}

fn parse(path: &Path) -> Result<Result<LocatedConfig, Findings>, CommandError> {
    let read = fs::read(path);
    let bytes = read.map_err(|err| CommandError::BadInput(format!("{}: {err}", path.display())))?;
    Ok(LocatedConfig::parse(&bytes))
}

fn read_settings(path: &Path) -> Result<CheckSettings, CommandError> {
    let boot = Boot::read(path).map_err(|err| CommandError::BadInput(err.to_string()))?;
    let locality = boot.host.locality;
    let regions = locality.regions.into_values().chain([locality.region]).collect();
    let quota = boot.host.quota;
    Ok(CheckSettings { regions, retry_ratio: quota.ratio, retry_extra: quota.extra })
}

fn to_json(report: &CheckReport, version: Option<u64>, in_force: Option<u64>) -> Value {
    let change = |change: &Change| json!({ "path": change.path, "before": change.before, "after": change.after });
    let changes: Vec<Value> = report.changes.iter().map(change).collect();
    json!({
        "version": version,
        "in_force": in_force,
        "errors": report.errors,
        "warnings": report.warnings,
        "changes": changes,
    })
}

fn print_text(report: &CheckReport, in_force: Option<u64>, has_settings: bool) {
    for finding in &report.errors.0 {
        println!("error: {finding}");
    }
    for finding in &report.warnings.0 {
        println!("warning: {finding}");
    }
    if let Some(version) = in_force {
        println!("{} difference(s) from version {version} in force", report.changes.len());
        for change in &report.changes {
            println!("  {change}");
        }
    }
    if !has_settings {
        println!("regions and the quota of retries were not checked; use --settings");
    }
    if report.errors.is_empty() && report.warnings.is_empty() {
        println!("no findings");
    }
}
