//! Common imports.

pub use crate::admission::{Admission, RefuseReason};
pub use crate::brittleness::Brittleness;
pub use crate::candidates::Candidates;
pub use crate::choice::Choice;
pub use crate::crash_suspects::{CrashRecord, CrashSuspects, FeatureCrash};
pub use crate::directives::{Directive, Directives};
pub use crate::distance::{Distance, Locality};
pub use crate::endpoint::{Endpoint, EndpointState};
pub use crate::entry::{EndpointEntry, ProcessStart};
pub use crate::evacuation::{EvacuationChange, Evacuations, KnownEvacuations};
pub use crate::fleet::{Fleet, FleetChange};
pub use crate::generation::TokenDemand;
pub use crate::health::Health;
pub use crate::load::{LoadHint, LoadReport};
pub use crate::migration::{MigrationPlans, PlannedMigration};
pub use crate::pause::PauseDetector;
pub use crate::pool::Pool;
pub use crate::reachability::Reachability;
pub use crate::reclaim::{NoDestination, ReclaimDecision, ReclaimedRun};
pub use crate::request_limit::RequestLimit;
pub use crate::residency::ResidencyRefusal;
pub use crate::retry_quota::{QuotaSettings, RetryQuota};
pub use crate::revision::{RegistryEra, Revision};
pub use crate::run::{CallId, Run, RunId, RunWork};
pub use crate::stream_origins::{StreamDigest, StreamOrigins};
