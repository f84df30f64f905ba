//! `dahliatrack federation`: the stores of a federation's members.

use super::output::print;
use super::CommandError;
use dahliatrack::config::ConfigError;
use dahliatrack::federation::settings::FederationSettings;
use dahliatrack::federation::store::{self, Store};
use std::path::{Path, PathBuf};

#[derive(clap::Subcommand)]
pub enum FederationCommand {
    /// Make a member's store, once: its votes must never be forgotten
    Init {
        /// The operator's file of the federation
        federation: PathBuf,
        /// The federation runs already and this member is to be added: it begins with nothing and learns all
        #[arg(long)]
        join: bool,
    },
    /// Read a member's file and its store, and say whether they can be used; its edge proxy must not run
    Check {
        /// The operator's file of the federation
        federation: PathBuf,
    },
}

/// Works on a member's store.
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
    print(&format!("{}: made for member {}", settings.store.display(), settings.id));
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
