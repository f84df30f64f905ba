//! `dahliatrack federation`: creates and checks the stores of a federation's members.

use super::output::print;
use super::CommandError;
use dahliatrack::config::ConfigError;
use dahliatrack::federation::settings::FederationSettings;
use dahliatrack::federation::store::{self, Store};
use std::path::{Path, PathBuf};

#[derive(clap::Subcommand)]
pub enum FederationCommand {
    /// Create a member's store; only once per member, because a new store would lack the member's votes
    Init {
        /// The operator's file for the federation
        federation: PathBuf,
        /// Add the member to a running federation: it starts with an empty log and receives everything from the others
        #[arg(long)]
        join: bool,
    },
    /// Check whether a member's file and its store can be used; the member's edge proxy must not be running
    Check {
        /// The operator's file for the federation
        federation: PathBuf,
    },
}

/// Creates or checks a member's store.
pub fn run(command: FederationCommand) -> Result<(), CommandError> {
    match command {
        FederationCommand::Init { federation, join } => init(&federation, join),
        FederationCommand::Check { federation } => check(&federation),
    }
}

fn init(file: &Path, join: bool) -> Result<(), CommandError> {
    let settings = FederationSettings::read(file)?;
    store::create_member_store(&settings, join, rand::random())
        .map_err(|error| ConfigError::invalid(&settings.store, error))?;
    print(&format!("{}: store created for member {}", settings.store.display(), settings.id));
    Ok(())
}

fn check(file: &Path) -> Result<(), CommandError> {
    let settings = FederationSettings::read(file)?;
    let (store, saved) = Store::open(&settings.store, &settings.cluster, settings.id)
        .map_err(|error| ConfigError::invalid(&settings.store, error))?;
    let last = saved.last_index();
    let (id, term) = (store.owner().id, saved.hard_state.term);
    print(&format!("member {id}: usable, term {term}, log {}..{last}", saved.snapshot.index));
    Ok(())
}
