//! `dahliatrack sign`: issues signed URLs and tokens of the second front.

use super::output::print;
use super::CommandError;
use dahliatrack::config::signed::SignedConfig;
use dahliatrack::config::ConfigError;
use dahliatrack::front::signed::credentials::{Grant, Keyring, TokenScope};
use std::path::PathBuf;

/// The key and the end of what is signed.
#[derive(clap::Args)]
pub struct SigningArgs {
    /// The operator's file, which names the keys
    #[arg(long, env = "PROXY_SIGNED")]
    signed: PathBuf,
    /// The key's name
    #[arg(long)]
    key: String,
    /// The Unix second at which it ends
    #[arg(long)]
    expires: i64,
}

/// What a token grants.
#[derive(clap::Args)]
pub struct TokenArgs {
    #[command(flatten)]
    signing: SigningArgs,
    /// The URI of the one object that it opens
    #[arg(long, required_unless_present = "table", conflicts_with = "table")]
    object: Option<String>,
    /// The URI, ending in a slash, below which it opens everything
    #[arg(long)]
    table: Option<String>,
    /// The Unix second at which it begins
    #[arg(long)]
    not_before: Option<i64>,
    /// Who issues it
    #[arg(long)]
    issuer: Option<String>,
}

#[derive(clap::Subcommand)]
pub enum SignCommand {
    /// Sign a URL in the form Expires, KeyName, Signature
    Url {
        #[command(flatten)]
        signing: SigningArgs,
        /// The URL
        url: String,
    },
    /// Issue the parameters URLPrefix, Expires, KeyName, Signature, to be put behind any URL that begins so
    Prefix {
        #[command(flatten)]
        signing: SigningArgs,
        /// What the URLs begin with, ending in a slash
        prefix: String,
    },
    /// Issue a token (RFC 9246) for the parameter or the cookie URISigningPackage
    Token(TokenArgs),
}

impl SigningArgs {
    fn keyring(&self) -> Result<Keyring, ConfigError> {
        Ok(Keyring::new(&SignedConfig::read(&self.signed)?))
    }
}

/// Signs, and prints the result.
pub fn run(command: SignCommand) -> Result<(), CommandError> {
    let signed = match command {
        SignCommand::Url { signing, url } => {
            signing.keyring()?.sign_url(&signing.key, &url, signing.expires)?
        }
        SignCommand::Prefix { signing, prefix } => {
            signing.keyring()?.sign_prefix(&signing.key, &prefix, signing.expires)?
        }
        SignCommand::Token(args) => sign_token(args)?,
    };
    print(&signed);
    Ok(())
}

fn sign_token(args: TokenArgs) -> Result<String, CommandError> {
    let TokenArgs { signing, object, table, not_before, issuer } = args;
    let scope = match object {
        Some(object) => TokenScope::Object(object),
        None => TokenScope::Table(table.unwrap_or_default()),
    };
    let grant = Grant { scope, exp: signing.expires, nbf: not_before, iss: issuer };
    Ok(signing.keyring()?.sign_token(&signing.key, &grant)?)
}
