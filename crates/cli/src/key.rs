//! Hashes the key of an organisation.

use argh::FromArgs;
use camphorloft_config::org_key::KeyHash;

use crate::exit::CommandResult;

/// print the hash of an organisation's key for the object set
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyArgs {
    #[argh(subcommand)]
    command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeyCommand {
    Hash(HashArgs),
}

/// hash a key
#[derive(FromArgs)]
#[argh(subcommand, name = "hash")]
struct HashArgs {
    /// the key
    #[argh(positional)]
    key: String,
}

/// Runs the command.
pub fn run(args: &KeyArgs) -> CommandResult {
    let KeyCommand::Hash(hash) = &args.command;
    println!("{}", KeyHash::of(&hash.key).to_hex());
    Ok(())
}
