//! Publishing and fetching versions of the object set.
//!
//! The table `config` holds the row `current` (the newest version), one row `delta.V` per version
//! and one row `proposal.ID` per accepted proposal. All three are written in one transaction,
//! conditional on the version that the proposal is based on. Of concurrent proposals at most one is
//! accepted, and after a lost response the result can be looked up by the proposal's identifier. The
//! whole set is stored as an object before the transaction.

use std::collections::BTreeSet;

use camphorloft_config::{Findings, ObjectKey, RawSet, SetDelta, verify};
use camphorloft_types::prelude::ConfigVersion;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::api::{PlatformApi, PlatformError, Table, TransactOutcome};
use crate::wire::{Conflict, Expect, Row, Write};

const CURRENT: &str = "current";
/// Maximum number of times that the transaction of a proposal is sent.
const MAX_SENDS: u32 = 8;
/// Maximum number of deltas to fetch; beyond it, fetching the whole set is cheaper.
const MAX_DELTAS: u64 = 64;

/// The row `current`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// Newest version.
    pub version: ConfigVersion,
    /// Digest of the set of this version.
    pub digest: String,
}

/// A row `delta.V`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedDelta {
    /// Version that results when the delta is applied to the previous version.
    pub version: ConfigVersion,
    /// Digest of the set after the delta.
    pub digest: String,
    /// Identifier of the accepted proposal.
    pub proposal: String,
    /// Author of the proposal.
    pub author: String,
    /// The change.
    pub delta: SetDelta,
}

/// A version of the object set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionedSet {
    /// Version; 0, with an empty set, when nothing was published.
    pub version: ConfigVersion,
    /// The objects.
    pub set: RawSet,
}

/// A proposed version of the object set.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Identifier, unique among all proposals.
    pub id: String,
    /// Author.
    pub author: String,
    /// Version that the proposal is based on.
    pub base: ConfigVersion,
    /// The whole proposed set.
    pub set: RawSet,
}

quick_error! {
    /// Reason that a proposal was not accepted.
    #[derive(Debug)]
    pub enum ProposeError {
        /// The set is invalid. Nothing was written.
        Invalid(findings: Findings) {
            display("the proposal is invalid:\n{}", findings)
        }
        /// Another version was published after the base. No version was published.
        Superseded(current: ConfigVersion, conflicting: BTreeSet<ObjectKey>) {
            display("version {} was published in the meantime; objects changed by both: {}", current,
                join_keys(conflicting))
        }
        /// A response of the platform was lost. The proposal may or may not have been accepted.
        Undetermined(id: String, err: PlatformError) {
            display("{}; run `camphorloft config status --proposal {}` to look up the result",
                err, id)
        }
        /// A call to the platform failed. No version was published.
        Platform(err: PlatformError) {
            from()
            display("{}; no version was published", err)
        }
        /// A stored row or object is missing or corrupt.
        Corrupt(what: String) {
            display("stored configuration is corrupt: {}", what)
        }
    }
}

fn join_keys(keys: &BTreeSet<ObjectKey>) -> String {
    if keys.is_empty() {
        return "none, so the proposal can be rebased as it is".to_owned();
    }
    keys.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

fn delta_key(version: ConfigVersion) -> String {
    format!("delta.{:020}", version.0)
}

fn proposal_key(id: &str) -> String {
    format!("proposal.{id}")
}

fn object_name(digest: &str) -> String {
    format!("config-{digest}")
}

fn parse_row<Value>(row: &Row, what: &str) -> Result<Value, ProposeError>
where
    Value: serde::de::DeserializeOwned,
{
    serde_json::from_str(&row.value).map_err(|err| ProposeError::Corrupt(format!("{what}: {err}")))
}

/// Reads the newest version and its digest.
///
/// # Errors
///
/// Returns [`ProposeError::Platform`] when the call to the platform failed and
/// [`ProposeError::Corrupt`] when the row is corrupt.
pub fn read_current<P>(platform: &P) -> Result<Option<Current>, ProposeError>
where
    P: PlatformApi,
{
    match platform.read(Table::Config, CURRENT)? {
        Some(row) => parse_row(&row, CURRENT).map(Some),
        None => Ok(None),
    }
}

/// Fetches the whole set of the newest version.
///
/// # Errors
///
/// Returns [`ProposeError::Platform`] when a call to the platform failed and
/// [`ProposeError::Corrupt`] when the stored set is missing or does not match its digest.
pub fn fetch_current<P>(platform: &P) -> Result<VersionedSet, ProposeError>
where
    P: PlatformApi,
{
    let Some(current) = read_current(platform)? else { return Ok(VersionedSet::default()) };
    let name = object_name(&current.digest);
    let missing = || ProposeError::Corrupt(format!("object {name} is missing"));
    let bytes = platform.get_object(&name)?.ok_or_else(missing)?;
    let text = String::from_utf8_lossy(&bytes);
    let set = RawSet::parse(&text).map_err(|err| ProposeError::Corrupt(err.to_string()))?;
    if set.digest() != current.digest {
        return Err(ProposeError::Corrupt(format!("object {name} does not match its digest")));
    }
    Ok(VersionedSet { version: current.version, set })
}

/// Updates a known version to the newest one, using deltas when few versions are missing.
///
/// Returns `None` when there is no newer version than `known`.
///
/// # Errors
///
/// Returns [`ProposeError::Platform`] when a call to the platform failed and
/// [`ProposeError::Corrupt`] when a stored row or object is corrupt.
pub fn fetch_since<P>(
    platform: &P,
    known: &VersionedSet,
) -> Result<Option<VersionedSet>, ProposeError>
where
    P: PlatformApi,
{
    let Some(current) = read_current(platform)? else { return Ok(None) };
    if current.version <= known.version {
        return Ok(None);
    }
    let missing = current.version.0 - known.version.0;
    if known.version.0 == 0 || missing > MAX_DELTAS {
        return fetch_current(platform).map(Some);
    }
    match apply_deltas(platform, known, &current)? {
        Some(set) => Ok(Some(set)),
        None => fetch_current(platform).map(Some),
    }
}

/// Applies the missing deltas. Returns `None` when one is missing or the digest differs.
fn apply_deltas<P>(
    platform: &P,
    known: &VersionedSet,
    current: &Current,
) -> Result<Option<VersionedSet>, ProposeError>
where
    P: PlatformApi,
{
    let after = delta_key(known.version);
    let limit = (current.version.0 - known.version.0) as usize;
    let rows = platform.scan(Table::Config, "delta.", &after, limit)?;
    let mut next = known.clone();
    for (_, row) in &rows {
        let delta: PublishedDelta = parse_row(row, "delta")?;
        if delta.version != next.version.next() {
            return Ok(None);
        }
        next = VersionedSet { version: delta.version, set: delta.delta.apply(&next.set) };
    }
    let complete = next.version == current.version && next.set.digest() == current.digest;
    Ok(complete.then_some(next))
}

/// Reads up to `count` of the newest published deltas, oldest first.
///
/// # Errors
///
/// Returns [`ProposeError::Platform`] when a call to the platform failed and
/// [`ProposeError::Corrupt`] when a stored row is corrupt.
pub fn read_history<P>(platform: &P, count: u64) -> Result<Vec<PublishedDelta>, ProposeError>
where
    P: PlatformApi,
{
    let Some(current) = read_current(platform)? else { return Ok(Vec::new()) };
    let after = delta_key(ConfigVersion(current.version.0.saturating_sub(count)));
    let rows = platform.scan(Table::Config, "delta.", &after, count as usize)?;
    rows.iter().map(|(_, row)| parse_row(row, "delta")).collect()
}

/// Looks up the version as which a proposal was published.
///
/// # Errors
///
/// Returns [`ProposeError::Platform`] when the call to the platform failed and
/// [`ProposeError::Corrupt`] when the row is corrupt.
pub fn read_proposal<P>(platform: &P, id: &str) -> Result<Option<ConfigVersion>, ProposeError>
where
    P: PlatformApi,
{
    match platform.read(Table::Config, &proposal_key(id))? {
        Some(row) => parse_row(&row, "proposal").map(Some),
        None => Ok(None),
    }
}

/// Publishes a proposal if its base is still the newest version.
///
/// After a lost response, the same transaction is sent again. If it then conflicts, the row of the
/// proposal shows which proposal was accepted: this one if the row exists, another one otherwise.
///
/// # Errors
///
/// Returns the reason that the proposal was rejected, or [`ProposeError::Undetermined`] when its
/// result is unknown.
pub fn propose<P>(platform: &P, proposal: &Proposal) -> Result<ConfigVersion, ProposeError>
where
    P: PlatformApi,
{
    verify(&proposal.set).map_err(ProposeError::Invalid)?;
    if let Some(version) = read_proposal(platform, &proposal.id)? {
        return Ok(version);
    }
    let base = fetch_current(platform)?;
    if base.version != proposal.base {
        return Err(superseded(platform, proposal)?);
    }
    let digest = proposal.set.digest();
    let text = proposal.set.to_value().to_string();
    platform.put_object(&object_name(&digest), text.as_bytes())?;
    let writes = proposal_writes(platform, proposal, &base, digest)?;
    commit(platform, proposal, &writes)
}

fn proposal_writes<P>(
    platform: &P,
    proposal: &Proposal,
    base: &VersionedSet,
    digest: String,
) -> Result<[Write; 3], ProposeError>
where
    P: PlatformApi,
{
    let version = base.version.next();
    let expect = current_condition(platform, proposal)?;
    let delta = PublishedDelta {
        version,
        digest: digest.clone(),
        proposal: proposal.id.clone(),
        author: proposal.author.clone(),
        delta: SetDelta::between(&base.set, &proposal.set),
    };
    let write = |key: String, expect, value: String| Write { key, expect, value: Some(value) };
    Ok([
        write(CURRENT.to_owned(), expect, to_json(&Current { version, digest })),
        write(delta_key(version), Expect::Absent, to_json(&delta)),
        write(proposal_key(&proposal.id), Expect::Absent, to_json(&version)),
    ])
}

/// Returns the condition under which `current` may be replaced.
///
/// The row is read after the base was fetched, so its version is compared with the base again.
/// Otherwise a version published between the two reads would be overwritten.
fn current_condition<P>(platform: &P, proposal: &Proposal) -> Result<Expect, ProposeError>
where
    P: PlatformApi,
{
    let Some(row) = platform.read(Table::Config, CURRENT)? else { return Ok(Expect::Absent) };
    let current: Current = parse_row(&row, CURRENT)?;
    if current.version != proposal.base {
        return Err(superseded(platform, proposal)?);
    }
    Ok(Expect::Version(row.version))
}

fn to_json<Value>(value: &Value) -> String
where
    Value: Serialize,
{
    serde_json::to_string(value).unwrap_or_default()
}

fn commit<P>(
    platform: &P,
    proposal: &Proposal,
    writes: &[Write; 3],
) -> Result<ConfigVersion, ProposeError>
where
    P: PlatformApi,
{
    let accepted = proposal.base.next();
    let mut last_err = PlatformError::Limited;
    let mut may_be_applied = false;
    for _ in 0..MAX_SENDS {
        match platform.transact(Table::Config, writes) {
            Ok(TransactOutcome::Applied) => return Ok(accepted),
            Ok(TransactOutcome::Conflicts(failed)) if is_accepted(&failed) => return Ok(accepted),
            Ok(TransactOutcome::Conflicts(_)) => return Err(superseded(platform, proposal)?),
            Err(err) => {
                may_be_applied |= matches!(err, PlatformError::Ambiguous(_));
                last_err = err;
            }
        }
    }
    if may_be_applied {
        return Err(ProposeError::Undetermined(proposal.id.clone(), last_err));
    }
    Err(ProposeError::Platform(last_err))
}

/// Returns true when the row of the proposal exists. That row is the third write, and only the
/// proposal itself writes it.
fn is_accepted(conflicts: &[Conflict]) -> bool {
    conflicts.iter().any(|conflict| conflict.index == 2)
}

/// Returns [`ProposeError::Superseded`] with the objects that versions since the base changed and
/// that differ between the proposal and the newest version.
fn superseded<P>(platform: &P, proposal: &Proposal) -> Result<ProposeError, ProposeError>
where
    P: PlatformApi,
{
    let current = fetch_current(platform)?;
    let after = delta_key(proposal.base);
    let limit = current.version.0.saturating_sub(proposal.base.0).min(MAX_DELTAS) as usize;
    let rows = platform.scan(Table::Config, "delta.", &after, limit)?;
    let mut changed_since = BTreeSet::new();
    for (_, row) in &rows {
        let delta: PublishedDelta = parse_row(row, "delta")?;
        changed_since.extend(delta.delta.keys());
    }
    let is_conflicting =
        |key: &&ObjectKey| proposal.set.objects.get(*key) != current.set.objects.get(*key);
    let conflicting = changed_since.iter().filter(is_conflicting).cloned().collect();
    Ok(ProposeError::Superseded(current.version, conflicting))
}
