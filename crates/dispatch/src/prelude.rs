//! Common imports.

pub use crate::admission::{Admission, RefuseReason};
pub use crate::admission_queue::{AdmissionQueue, AdmissionTerms, Engines, Ticket};
pub use crate::brittleness::Brittleness;
pub use crate::candidates::Candidates;
pub use crate::choice::Choice;
pub use crate::completions::Completions;
pub use crate::crash_suspects::{CrashRecord, CrashSuspects, FeatureCrash};
pub use crate::directives::{Directive, Directives};
pub use crate::distance::{Distance, Locality};
pub use crate::endpoint::{Endpoint, EndpointState};
pub use crate::entry::{EndpointEntry, ProcessStart};
pub use crate::fleet::{Fleet, FleetChange};
pub use crate::generation::TokenDemand;
pub use crate::health::Health;
pub use crate::load::{LoadHint, LoadReport};
pub use crate::migration::{MigrationPlans, PlannedMigration};
pub use crate::peer_queues::{HostDigest, PeerQueues, QueueState};
pub use crate::pool::Pool;
pub use crate::queued_work::QueuedWork;
pub use crate::reachability::Reachability;
pub use crate::reclaim::{NoDestination, ReclaimDecision};
pub use crate::request_limit::RequestLimit;
pub use crate::retry_quota::{QuotaSettings, RetryQuota};
pub use crate::run::{CallId, Run, RunId, RunWork};
pub use crate::stream_origins::{StreamDigest, StreamOrigins};
