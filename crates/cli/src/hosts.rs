//! Shows hosts and endpoints, drains a host.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::Value;

use crate::exit::CommandResult;
use crate::operator::OperatorClient;

/// show the hosts that a host knows
#[derive(FromArgs)]
#[argh(subcommand, name = "hosts")]
pub struct HostsArgs {
    /// address of a host
    #[argh(option, default = "default_host()")]
    host: SocketAddr,
    /// operator key
    #[argh(option)]
    operator_key: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show the endpoints that a host knows
#[derive(FromArgs)]
#[argh(subcommand, name = "endpoints")]
pub struct EndpointsArgs {
    /// address of a host
    #[argh(option, default = "default_host()")]
    host: SocketAddr,
    /// operator key
    #[argh(option)]
    operator_key: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// shut a host down gracefully, after its requests in flight have ended
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// address of the host
    #[argh(option)]
    host: SocketAddr,
    /// operator key
    #[argh(option)]
    operator_key: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Returns the address of a daemon with default settings.
pub fn default_host() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8080))
}

/// Runs `hosts`.
pub fn run_hosts(args: &HostsArgs) -> CommandResult {
    let client = OperatorClient::new(&args.operator_key);
    let members = client.view(args.host, "members")?;
    print_rows(&members, args.json, &["host", "region", "zone", "state", "config_version"]);
    Ok(())
}

/// Runs `endpoints`.
pub fn run_endpoints(args: &EndpointsArgs) -> CommandResult {
    let client = OperatorClient::new(&args.operator_key);
    let endpoints = client.view(args.host, "endpoints")?;
    let columns = ["name", "address", "running", "engine_waiting", "usable", "leaving"];
    print_rows(&endpoints, args.json, &columns);
    Ok(())
}

/// Runs `drain`.
pub fn run_drain(args: &DrainArgs) -> CommandResult {
    OperatorClient::new(&args.operator_key).drain(args.host)?;
    if args.json {
        println!("{{\"host\":\"{}\",\"draining\":true}}", args.host);
    } else {
        println!("{} is draining; it stops when its last request has ended", args.host);
    }
    Ok(())
}

/// Prints an array of objects as a table, or as JSON.
pub fn print_rows(rows: &Value, json: bool, columns: &[&str]) {
    if json {
        println!("{rows}");
        return;
    }
    const WIDTH: usize = 20;
    let line = |cells: Vec<String>| {
        let padded: Vec<String> = cells.iter().map(|cell| format!("{cell:<WIDTH$}")).collect();
        println!("{}", padded.join(" ").trim_end());
    };
    line(columns.iter().map(|column| (*column).to_owned()).collect());
    for row in rows.as_array().into_iter().flatten() {
        line(columns.iter().map(|column| cell(&row[*column])).collect());
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
