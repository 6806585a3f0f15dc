//! Checks, proposes and watches object sets.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use camphorloft_config::{Findings, RawSet, verify};
use camphorloft_platform::http::HttpPlatform;
use camphorloft_platform::publication::{
    Proposal, ProposeError, propose, read_current, read_history, read_proposal,
};
use camphorloft_types::prelude::ConfigVersion;
use rand::Rng;
use serde_json::{Value, json};

use crate::config_check;
use crate::exit::{CommandError, CommandResult};
use crate::hosts::{default_host, print_rows};
use crate::operator::OperatorClient;

/// Polling interval of `watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// check, propose and watch object sets
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    #[argh(subcommand)]
    command: ConfigCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ConfigCommand {
    Check(CheckArgs),
    Propose(ProposeArgs),
    Status(StatusArgs),
    Watch(WatchArgs),
    History(HistoryArgs),
}

/// check a file and print every finding. The file contains an object set of the daemon, or a configuration
/// of the entry hosts: exit code 0 if there are no findings, 1 if there are warnings, 2 if there are errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// configuration in force, to print the differences (entry hosts)
    #[argh(option)]
    in_force: Option<PathBuf>,
    /// settings file of a host, to check regions and the quota of retries (entry hosts)
    #[argh(option)]
    settings: Option<PathBuf>,
    /// file with an object set or a configuration
    #[argh(positional)]
    file: PathBuf,
}

/// publish a file as the next version
#[derive(FromArgs)]
#[argh(subcommand, name = "propose")]
struct ProposeArgs {
    /// address of the platform
    #[argh(option)]
    platform: SocketAddr,
    /// version that the file is based on (0 for the first)
    #[argh(option)]
    base: ConfigVersion,
    /// author of the proposal
    #[argh(option)]
    author: String,
    /// identifier of the proposal, to repeat one whose response was lost
    #[argh(option)]
    proposal: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// file with an object set
    #[argh(positional)]
    file: PathBuf,
}

/// show the newest version or the outcome of a proposal
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {
    /// address of the platform
    #[argh(option)]
    platform: SocketAddr,
    /// identifier of a proposal
    #[argh(option)]
    proposal: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show which version is in force on each host until all have the newest
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct WatchArgs {
    /// address of a host, which lists the others
    #[argh(option, default = "default_host()")]
    host: SocketAddr,
    /// operator key
    #[argh(option)]
    operator_key: String,
    /// version to wait for
    #[argh(option)]
    version: ConfigVersion,
    /// time to wait, in seconds (default 30)
    #[argh(option, default = "30")]
    timeout: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// list the newest versions
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryArgs {
    /// address of the platform
    #[argh(option)]
    platform: SocketAddr,
    /// number of versions (default 10)
    #[argh(option, default = "10")]
    count: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub fn run(args: &ConfigArgs) -> CommandResult {
    match &args.command {
        ConfigCommand::Check(args) => check(args),
        ConfigCommand::Propose(args) => run_propose(args),
        ConfigCommand::Status(args) => status(args),
        ConfigCommand::Watch(args) => watch(args),
        ConfigCommand::History(args) => history(args),
    }
}

fn read_set(path: &Path) -> Result<RawSet, CommandError> {
    let file = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|err| CommandError::BadInput(format!("{file}: {err}")))?;
    let findings = |findings: Findings| CommandError::BadInput(findings.in_file(&file).to_string());
    let set = RawSet::parse(&text).map_err(findings)?;
    verify(&set).map_err(findings)?;
    Ok(set)
}

fn check(args: &CheckArgs) -> CommandResult {
    let is_for_hosts = args.in_force.is_some() || args.settings.is_some();
    if is_for_hosts || config_check::is_document(&args.file) {
        let (in_force, settings) = (args.in_force.as_deref(), args.settings.as_deref());
        return config_check::run(&args.file, in_force, settings, args.json);
    }
    let set = match read_set(&args.file) {
        Ok(set) => set,
        Err(err) => {
            if args.json {
                println!("{}", json!({ "valid": false, "findings": err.to_string() }));
            }
            return Err(err);
        }
    };
    if args.json {
        println!("{}", json!({ "valid": true, "objects": set.objects.len() }));
    } else {
        println!("{}: {} objects, no findings", args.file.display(), set.objects.len());
    }
    Ok(())
}

fn run_propose(args: &ProposeArgs) -> CommandResult {
    let set = read_set(&args.file)?;
    let random_id = || format!("{:032x}", rand::rng().random::<u128>());
    let id = args.proposal.clone().unwrap_or_else(random_id);
    let proposal = Proposal { id, author: args.author.clone(), base: args.base, set };
    match propose(&HttpPlatform::new(args.platform), &proposal) {
        Ok(version) => {
            if args.json {
                println!(
                    "{}",
                    json!({ "accepted": true, "version": version, "proposal": proposal.id })
                );
            } else {
                println!("accepted as version {version} (proposal {})", proposal.id);
            }
            Ok(())
        }
        Err(err) => Err(propose_error(err)),
    }
}

fn propose_error(err: ProposeError) -> CommandError {
    match err {
        ProposeError::Invalid(_) => CommandError::BadInput(err.to_string()),
        ProposeError::Superseded(..) => CommandError::NotRun(format!(
            "{err}; run `camphorloft config history`, rebase the file and propose it again"
        )),
        ProposeError::Undetermined(..) => CommandError::Unknown(err.to_string()),
        ProposeError::Platform(_) | ProposeError::Corrupt(_) => {
            CommandError::Failed(err.to_string())
        }
    }
}

fn status(args: &StatusArgs) -> CommandResult {
    let platform = HttpPlatform::new(args.platform);
    if let Some(id) = &args.proposal {
        let version = read_proposal(&platform, id).map_err(propose_error)?;
        return print_proposal(id, version, args.json);
    }
    let current = read_current(&platform).map_err(propose_error)?;
    match current {
        Some(current) if args.json => {
            println!("{}", json!({ "version": current.version, "digest": current.digest }));
        }
        Some(current) => println!("version {} ({})", current.version, current.digest),
        None if args.json => println!("{}", json!({ "version": 0 })),
        None => println!("nothing was published yet; propose with --base 0"),
    }
    Ok(())
}

fn print_proposal(id: &str, version: Option<ConfigVersion>, json: bool) -> CommandResult {
    if json {
        println!("{}", json!({ "proposal": id, "version": version }));
        return Ok(());
    }
    match version {
        Some(version) => println!("proposal {id} became version {version}"),
        None => println!("proposal {id} was not accepted; it may be proposed again"),
    }
    Ok(())
}

fn watch(args: &WatchArgs) -> CommandResult {
    let client = OperatorClient::new(&args.operator_key);
    let deadline = Instant::now() + Duration::from_secs(args.timeout);
    loop {
        let members = client.view(args.host, "members")?;
        let outdated = count_outdated_hosts(&members, args.version);
        if outdated == 0 || Instant::now() >= deadline {
            print_rows(&members, args.json, &["host", "region", "zone", "state", "config_version"]);
            if outdated == 0 {
                return Ok(());
            }
            let message = format!("{outdated} host(s) do not have version {} yet", args.version);
            return Err(CommandError::Failed(message));
        }
        thread::sleep(WATCH_INTERVAL);
    }
}

/// Counts live hosts with an older version.
fn count_outdated_hosts(members: &Value, version: ConfigVersion) -> usize {
    let rows = members.as_array().into_iter().flatten();
    let live = rows.filter(|row| row["state"] == "alive");
    live.filter(|row| row["config_version"].as_u64().unwrap_or(0) < version.0).count()
}

fn history(args: &HistoryArgs) -> CommandResult {
    let platform = HttpPlatform::new(args.platform);
    let deltas = read_history(&platform, args.count).map_err(propose_error)?;
    let rows = deltas.iter().map(|delta| {
        let objects: Vec<String> = delta.delta.keys().iter().map(ToString::to_string).collect();
        json!({
            "version": delta.version,
            "author": delta.author,
            "proposal": delta.proposal,
            "objects": objects.join(" "),
        })
    });
    let rows = Value::Array(rows.collect());
    print_rows(&rows, args.json, &["version", "author", "objects", "proposal"]);
    Ok(())
}
