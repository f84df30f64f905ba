//! `dahliatrack sign`: issues signed URLs and tokens for the signed front.

use super::output::print;
use super::CommandError;
use dahliatrack::config::signed::SignedConfig;
use dahliatrack::config::ConfigError;
use dahliatrack::front::signed::credentials::{Grant, Keyring, TokenScope};
use std::path::PathBuf;

/// The signing key, and when the signature expires.
#[derive(clap::Args)]
pub struct SigningArgs {
    /// The operator's file for the signed front, which lists the keys
    #[arg(long, env = "PROXY_SIGNED")]
    signed: PathBuf,
    /// The name of the key
    #[arg(long)]
    key: String,
    /// When the signature expires, in Unix seconds
    #[arg(long)]
    expires: i64,
}

/// What a token grants, from when, and who issues it.
#[derive(clap::Args)]
pub struct TokenArgs {
    #[command(flatten)]
    signing: SigningArgs,
    /// The URI of the one object that the token grants access to
    #[arg(long, required_unless_present = "table", conflicts_with = "table")]
    object: Option<String>,
    /// The URI, ending in a slash, below which the token grants access to everything
    #[arg(long)]
    table: Option<String>,
    /// When the token becomes valid, in Unix seconds
    #[arg(long)]
    not_before: Option<i64>,
    /// The issuer of the token
    #[arg(long)]
    issuer: Option<String>,
}

#[derive(clap::Subcommand)]
pub enum SignCommand {
    /// Sign a URL by adding the parameters Expires, KeyName and Signature
    Url {
        #[command(flatten)]
        signing: SigningArgs,
        /// The URL to sign
        url: String,
    },
    /// Issue the parameters URLPrefix, Expires, KeyName and Signature, to append to any URL with the prefix
    Prefix {
        #[command(flatten)]
        signing: SigningArgs,
        /// The prefix of the URLs, ending in a slash
        prefix: String,
    },
    /// Issue a token (RFC 9246) for the URISigningPackage parameter or cookie
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
