//! Workload files. `docs/WORKLOADS.md` documents the format.

use std::fs;
use std::path::Path;

use camphorloft_standins::engine_model::EngineLimits;
use quick_error::quick_error;
use serde::Deserialize;

quick_error! {
    /// Reason that a workload file was rejected.
    #[derive(Debug)]
    pub enum WorkloadError {
        /// The file cannot be read.
        Read(path: String, err: std::io::Error) {
            display("{}: {}", path, err)
        }
        /// The file is not valid JSON or does not match the format.
        Parse(path: String, err: serde_json::Error) {
            display("{}: {}", path, err)
        }
        /// A value is out of range or inconsistent with another.
        Invalid(path: String, findings: String) {
            display("{}: {}", path, findings)
        }
    }
}

/// A log-normal distribution of a length, in tokens.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogNormalLength {
    /// Weight in a mixture; ignored if there is only one component.
    #[serde(default = "one")]
    pub share: f64,
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Largest length.
    pub max: u32,
}

fn one() -> f64 {
    1.0
}

/// A class of generations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name.
    pub name: String,
    /// Arrivals per second.
    pub arrivals_per_second: f64,
    /// Scheduling priority; larger is served first.
    #[serde(default)]
    pub priority: u8,
    /// Prompt length.
    pub prompt: LogNormalLength,
    /// Output length: the components of a mixture.
    pub output: Vec<LogNormalLength>,
    /// Number of shared prompt prefixes; 0 for none.
    #[serde(default)]
    pub prefix_groups: u32,
    /// Length of a shared prefix, in tokens.
    #[serde(default)]
    pub prefix_tokens: u32,
    /// Names of the organisations that send this class; empty for all.
    #[serde(default)]
    pub organisations: Vec<String>,
}

/// An organisation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Name.
    pub name: String,
    /// Weight of its fair share of the capacity.
    pub weight: u32,
    /// Share of the arrivals.
    pub share: f64,
}

/// A group of identical engines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Number of engines.
    pub count: u32,
    /// Costs and limits.
    #[serde(default)]
    pub limits: EngineLimits,
}

/// A period with more arrivals.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds.
    pub at_seconds: f64,
    /// Duration, in seconds.
    pub for_seconds: f64,
    /// Factor that multiplies the arrival rates.
    pub factor: f64,
}

/// A permanent change of the output lengths.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    /// Start, in seconds.
    pub at_seconds: f64,
    /// Factor that multiplies the median output lengths.
    pub output_factor: f64,
}

/// A temporary loss of engines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLoss {
    /// Start, in seconds.
    pub at_seconds: f64,
    /// Number of lost engines, counted from the first engine.
    pub engines: u32,
    /// Duration until they are available again, in seconds.
    pub for_seconds: f64,
}

/// Weights of the objective.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveSpec {
    /// Weight of stall time.
    pub stall: f32,
    /// Weight of preemptions.
    pub preemption: f32,
    /// Weight of the tail latency between tokens.
    pub gap: f32,
}

/// A workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name.
    pub name: String,
    /// Duration of the arrivals, in seconds.
    pub duration_seconds: f64,
    /// Duration at the start that is excluded from the measurements, in seconds.
    pub warmup_seconds: f64,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Age of a load report when it arrives, in milliseconds.
    pub report_lag_ms: u64,
    /// Interval between load reports of an engine, in milliseconds.
    pub report_interval_ms: u64,
    /// Weights of the objective.
    pub objective: ObjectiveSpec,
    /// Organisations.
    pub organisations: Vec<OrganisationSpec>,
    /// Classes of generations.
    pub classes: Vec<ClassSpec>,
    /// Periods with more arrivals.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Permanent changes of the output lengths.
    #[serde(default)]
    pub shifts: Vec<Shift>,
    /// Temporary losses of engines.
    #[serde(default)]
    pub engine_losses: Vec<EngineLoss>,
}

impl Workload {
    /// Reads and validates a workload file.
    pub fn read(path: &Path) -> Result<Self, WorkloadError> {
        let name = path.display().to_string();
        let text =
            fs::read_to_string(path).map_err(|err| WorkloadError::Read(name.clone(), err))?;
        let workload: Self =
            serde_json::from_str(&text).map_err(|err| WorkloadError::Parse(name.clone(), err))?;
        let findings = workload.validate();
        if findings.is_empty() {
            return Ok(workload);
        }
        Err(WorkloadError::Invalid(name, findings.join("; ")))
    }

    fn validate(&self) -> Vec<String> {
        let mut findings = Vec::new();
        let mut require = |holds: bool, what: &str| {
            if !holds {
                findings.push(what.to_owned());
            }
        };
        require(!self.classes.is_empty(), "/classes is empty");
        require(!self.organisations.is_empty(), "/organisations is empty");
        require(self.engine_count() > 0, "/engines has no engine");
        require(self.report_interval_ms > 0, "/report_interval_ms must be above 0");
        require(self.duration_seconds > self.warmup_seconds, "/duration_seconds is too short");
        let lost = self.engine_losses.iter().map(|loss| loss.engines).max().unwrap_or(0);
        require(lost < self.engine_count(), "/engine_losses must leave an engine");
        for (ix, class) in self.classes.iter().enumerate() {
            let place = format!("/classes/{ix} ({})", class.name);
            require(!class.output.is_empty(), &format!("{place}: output is empty"));
            let rate = class.arrivals_per_second > 0.0;
            require(rate, &format!("{place}: arrivals_per_second must be above 0"));
            for name in &class.organisations {
                let known = self.organisations.iter().any(|o| o.name == *name);
                require(known, &format!("{place}: no organisation {name}"));
            }
        }
        findings
    }

    /// Returns the number of engines.
    pub fn engine_count(&self) -> u32 {
        self.engines.iter().map(|spec| spec.count).sum()
    }

    /// Returns the limits of each engine.
    pub fn engine_limits(&self) -> Vec<EngineLimits> {
        let each = |spec: &EngineSpec| vec![spec.limits; spec.count as usize];
        self.engines.iter().flat_map(each).collect()
    }
}
