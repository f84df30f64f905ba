//! The command line of the edge proxy.

mod lab_commands;
mod logger;

use clap::{Parser, Subcommand, ValueEnum};
use dahliatrack::config::located::Doc;
use dahliatrack::config::signed::SignedConfig;
use dahliatrack::config::{Config, ConfigError, Files};
#[cfg(feature = "control")]
use dahliatrack::control::service::{self, ControlError};
use dahliatrack::expect::lint::{lint, points, Severity};
use dahliatrack::expect::site::Site;
use dahliatrack::expect::{self, ExpectError, Overrides};
#[cfg(feature = "federation")]
use dahliatrack::federation::{
    settings::FederationSettings,
    store::{self, Store},
};
use dahliatrack::front::signed::gate::{Binding, Gate, Grant, SignError};
use dahliatrack::lab::flood::{self, FloodPlan};
use dahliatrack::lab::replay::ReplayError;
use dahliatrack::server::{route_classes, Server, ServerError};
use dahliatrack::sim::runner;
use dahliatrack::sim::world::Sabotage;
use dahliatrack::standin::faults::{Fault, RunPlan};
use dahliatrack::trace::TraceError;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// A real edge proxy for a two-tier cache.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[cfg(feature = "federation")]
#[derive(Subcommand)]
enum FederationCommand {
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

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT, then answer what is open and exit; SIGHUP reads the files again
    Serve {
        /// The configuration
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
        /// The operator's file of the second front, which is off without it
        #[arg(long, env = "PROXY_SIGNED")]
        signed: Option<PathBuf>,
        /// Where operators' calls are taken, in place of the configuration's `admin`; off without either
        #[arg(long, env = "PROXY_ADMIN")]
        admin: Option<SocketAddr>,
        /// The operator's admission file (HCL): caps, rates and reserves of clients' connections; off without it
        #[arg(long, env = "PROXY_ADMISSION")]
        admission: Option<PathBuf>,
        /// The operator's file of the federation (HCL): whom this edge proxy agrees with on what; off without it
        #[cfg(feature = "federation")]
        #[arg(long, env = "PROXY_FEDERATION")]
        federation: Option<PathBuf>,
        #[command(flatten)]
        log: Log,
    },
    #[cfg(feature = "federation")]
    /// Work on the federation's stores
    #[command(subcommand)]
    Federation(FederationCommand),
    #[cfg(feature = "control")]
    /// Hand the decisions to other proxies over xDS until SIGTERM or SIGINT; SIGHUP reads the operator's file again
    Control {
        /// The configuration
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
        /// The operator's file of the control service (HCL)
        #[arg(long, env = "PROXY_CONTROL")]
        control: PathBuf,
        #[command(flatten)]
        log: Log,
    },
    /// Play the network code on a virtual clock against faults drawn from seeds, checking every rule
    Sim {
        /// The seeds, as 0..10000
        #[arg(long, default_value = "0..1000", value_parser = seeds)]
        seeds: std::ops::Range<u64>,
        /// A file of sizes and of how often which fault happens (HCL), in place of the usual ones
        #[arg(long)]
        faults: Option<PathBuf>,
        /// Only these faults of the seed's script, by number, as 0,3; `none`: no fault
        #[arg(long, value_parser = numbers)]
        keep: Option<Numbers>,
        /// Plant a bug, to see that it is found
        #[arg(long, value_enum)]
        sabotage: Option<Sabotage>,
        /// Play federations of several members in place of an edge proxy
        #[cfg(feature = "federation")]
        #[arg(long)]
        federation: bool,
        /// Plant a bug in the federation, to see that it is found
        #[cfg(feature = "federation")]
        #[arg(long, value_enum, requires = "federation")]
        plant: Option<dahliatrack::sim::federation::PlantedBug>,
        /// Failures that are shrunk and told
        #[arg(long, default_value_t = 3)]
        most: usize,
    },
    /// Hold a configuration against routing expectations, asking the decision module itself; sends no traffic
    Check {
        /// The configuration
        config: PathBuf,
        /// The expectations (HCL)
        #[arg(long)]
        expect: PathBuf,
        /// The first seed of the module's random choices, in place of the file's
        #[arg(long)]
        seed: Option<u64>,
        /// How many seeds, in place of the file's
        #[arg(long)]
        seeds: Option<u64>,
        /// Only the expectation of this name
        #[arg(long)]
        only: Option<String>,
        /// How the verdicts are written
        #[arg(long, value_enum, default_value = "text")]
        format: Format,
    },
    /// Work on configurations
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Read a configuration and say whether it can be used, as `config validate` does, by its files alone
    CheckConfig {
        /// The configuration
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
        #[command(flatten)]
        beside: Beside,
    },
    /// Issue a signed URL or a token of the second front
    #[command(subcommand)]
    Sign(Sign),
    /// Flood an edge proxy on loopback from one address while known clients play from another; bounded in time
    Flood {
        /// The platform's front
        #[arg(long)]
        target: SocketAddr,
        /// Known clients, a thread each
        #[arg(long, default_value_t = 50)]
        known: usize,
        /// The loopback address they come from
        #[arg(long, default_value = "127.0.0.2")]
        known_from: std::net::IpAddr,
        /// Silent connections the flood holds at most
        #[arg(long, default_value_t = 2000)]
        flood: usize,
        /// The loopback address it comes from
        #[arg(long, default_value = "127.0.0.3")]
        flood_from: std::net::IpAddr,
        /// Seconds, at most 600
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// The class of known clients' requests
        #[arg(long, default_value = "piece")]
        route: String,
        /// Each flood connection pings once, so that having asked does not tell it from a client
        #[arg(long)]
        flood_asks: bool,
    },
    /// The project's own laboratory
    #[command(subcommand)]
    Lab(lab_commands::Lab),
    /// Print the version
    Version,
}

/// What is logged, and how.
#[derive(clap::Args)]
struct Log {
    /// The least important log lines to write
    #[arg(long, default_value = "info", value_parser = level)]
    log: LevelFilter,
    /// How log lines are written
    #[arg(long, value_enum, default_value = "text")]
    log_format: logger::LogFormat,
}

impl Log {
    fn start(&self) {
        logger::start(self.log, self.log_format);
    }
}

/// How results are written.
#[derive(Clone, Copy, ValueEnum)]
enum Format {
    /// Lines for people
    Text,
    /// One JSON object
    Json,
}

/// The operator's files beside a configuration.
#[derive(clap::Args)]
struct Beside {
    /// The operator's file of the second front
    #[arg(long, env = "PROXY_SIGNED")]
    signed: Option<PathBuf>,
    /// The operator's admission file
    #[arg(long, env = "PROXY_ADMISSION")]
    admission: Option<PathBuf>,
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Say whether a configuration can be used, and what is wrong with its servers, points and classes
    Validate {
        /// The configuration
        config: PathBuf,
        #[command(flatten)]
        beside: Beside,
    },
}

/// What signing needs in any case.
#[derive(clap::Args)]
struct With {
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

#[derive(Subcommand)]
enum Sign {
    /// Sign a URL in the form Expires, KeyName, Signature
    Url {
        #[command(flatten)]
        with: With,
        /// The URL
        url: String,
    },
    /// Issue the parameters URLPrefix, Expires, KeyName, Signature, to be put behind any URL that begins so
    Prefix {
        #[command(flatten)]
        with: With,
        /// What the URLs begin with, ending in a slash
        prefix: String,
    },
    /// Issue a token (RFC 9246) for the parameter or the cookie URISigningPackage
    Token {
        #[command(flatten)]
        with: With,
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
    },
}

/// The numbers of faults.
#[derive(Clone, Debug)]
struct Numbers(Vec<usize>);

fn numbers(text: &str) -> Result<Numbers, String> {
    let list = text.split(',').filter(|word| *word != "none");
    let list = list.map(|word| word.parse().map_err(|_| format!("{word:?} is no number")));
    list.collect::<Result<_, _>>().map(Numbers)
}

fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let range = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.filter(|range| range.start < range.end).ok_or_else(|| "a range of seeds, as 0..10000".to_owned())
}

fn level(word: &str) -> Result<LevelFilter, String> {
    word.parse().map_err(|_| "one of off, error, warn, info, debug, trace".to_owned())
}

/// The exit code of a configuration that cannot be used.
const BAD_CONFIG: u8 = 2;

/// Why the program ends.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Server(#[from] ServerError),
    #[error(transparent)]
    Sign(#[from] SignError),
    #[cfg(feature = "control")]
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error(transparent)]
    Expect(#[from] ExpectError),
    #[error("{0} errors in the configuration")]
    Findings(usize),
    #[error(transparent)]
    Replay(#[from] ReplayError),
    #[error(transparent)]
    Trace(#[from] TraceError),
    #[error("report: {0}")]
    Page(String),
    #[error("a rule is broken")]
    Broken,
    #[error("some expectations do not hold")]
    Unmet,
    #[error("flood: {0}")]
    Flood(String),
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliatrack: {error}");
            let config = match &error {
                Error::Config(_) | Error::Expect(_) | Error::Findings(_) | Error::Trace(_) => true,
                Error::Server(error) => error.is_config(),
                #[cfg(feature = "control")]
                Error::Control(error) => error.is_config(),
                Error::Sign(_)
                | Error::Flood(_)
                | Error::Unmet
                | Error::Broken
                | Error::Replay(_)
                | Error::Page(_) => false,
            };
            ExitCode::from(if config { BAD_CONFIG } else { 1 })
        }
    }
}

fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Serve {
            config,
            signed,
            admin,
            admission,
            #[cfg(feature = "federation")]
            federation,
            log,
        } => {
            log.start();
            #[cfg(not(feature = "federation"))]
            let federation = None;
            Server::start(Files { config, signed, admin, admission, federation })?.run()?;
        }
        #[cfg(feature = "federation")]
        Command::Federation(FederationCommand::Init { federation, join }) => {
            let settings = FederationSettings::read(&federation)?;
            store::found(&settings, join, rand::random())
                .map_err(|error| ConfigError::form(&settings.store, error))?;
            print(&format!("{}: made for member {}", settings.store.display(), settings.id));
        }
        #[cfg(feature = "federation")]
        Command::Federation(FederationCommand::Check { federation }) => {
            let settings = FederationSettings::read(&federation)?;
            let (store, saved) = Store::open(&settings.store, &settings.cluster, settings.id)
                .map_err(|error| ConfigError::form(&settings.store, error))?;
            let last = saved.last_index();
            let (id, term) = (store.owner().id, saved.hard.term);
            print(&format!("member {id}: usable, term {term}, log {}..{last}", saved.snapshot.index));
        }
        #[cfg(feature = "control")]
        Command::Control { config, control, log } => {
            log.start();
            service::run(&service::Files { config, control })?;
        }
        #[cfg(feature = "federation")]
        Command::Sim { seeds, federation: true, plant, .. } => {
            let summary = dahliatrack::sim::federation::search(seeds, plant);
            print(&summary);
            if !summary.broken.is_empty() {
                return Err(Error::Broken);
            }
        }
        Command::Sim { seeds, faults, keep, sabotage, most, .. } => {
            let plan = match faults {
                Some(path) => {
                    let text = dahliatrack::config::read(&path)?;
                    let text = String::from_utf8(text).map_err(|_| ConfigError::form(&path, "not UTF-8"))?;
                    let file = path.display().to_string();
                    RunPlan::parse(Doc { file: &file, text: &text }).map_err(ExpectError::from)?
                }
                None => RunPlan::default(),
            };
            if let Some(Numbers(keep)) = keep {
                let script = plan.script(seeds.start);
                let picked: Vec<Fault> = keep.iter().filter_map(|n| script.get(*n).cloned()).collect();
                let outcome = runner::play(&plan, seeds.start, &picked, sabotage);
                print(&serde_json::json!(outcome));
                return if outcome.breaches.is_empty() { Ok(()) } else { Err(Error::Broken) };
            }
            let summary = runner::search(&plan, seeds, sabotage, most);
            print(&summary);
            if !summary.broken.is_empty() {
                return Err(Error::Broken);
            }
        }
        Command::Check { config, expect, seed, seeds, only, format } => {
            let report = expect::check(&config, &expect, &Overrides { seed, seeds, only })?;
            match format {
                Format::Text => print(&report),
                Format::Json => print(&serde_json::json!(report)),
            }
            if !report.passed {
                return Err(Error::Unmet);
            }
        }
        Command::CheckConfig { config, beside } => usable(config, beside)?,
        Command::Config(ConfigCommand::Validate { config, beside }) => {
            usable(config.clone(), beside)?;
            let site = Site::of(&Config::read(&config)?);
            print(&format!("{} servers, points {}", site.servers.len(), points(&site)));
            let findings = lint(&site);
            findings.iter().for_each(|finding| print(finding));
            let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
            if errors > 0 {
                return Err(Error::Findings(errors));
            }
        }
        Command::Sign(Sign::Url { with: With { signed, key, expires }, url }) => {
            print(&Gate::new(&SignedConfig::read(&signed)?).sign_url(&key, &url, expires)?);
        }
        Command::Sign(Sign::Prefix { with: With { signed, key, expires }, prefix }) => {
            print(&Gate::new(&SignedConfig::read(&signed)?).sign_prefix(&key, &prefix, expires)?);
        }
        Command::Sign(Sign::Token { with, object, table, not_before, issuer }) => {
            let With { signed, key, expires } = with;
            let binding = match (object, table) {
                (Some(object), _) => Binding::Object(object),
                (None, table) => Binding::Table(table.unwrap_or_default()),
            };
            let grant = Grant { binding, exp: expires, nbf: not_before, iss: issuer };
            print(&Gate::new(&SignedConfig::read(&signed)?).sign_token(&key, &grant)?);
        }
        Command::Flood { target, known, known_from, flood, flood_from, seconds, route, flood_asks } => {
            let loopback = [target.ip(), known_from, flood_from].iter().all(std::net::IpAddr::is_loopback);
            if !loopback {
                return Err(Error::Flood("only loopback addresses are flooded".into()));
            }
            let seconds = seconds.clamp(0.1, 600.0);
            let plan = FloodPlan {
                target,
                known,
                known_from,
                flood,
                flood_from,
                seconds,
                max_connections: 100_000,
                route,
                flood_asks,
            };
            print(&flood::run(&plan).map_err(|error| Error::Flood(error.to_string()))?);
        }
        Command::Lab(lab) => lab_commands::run(lab)?,
        Command::Version => print(&format!("dahliatrack {}", env!("CARGO_PKG_VERSION"))),
    }
    Ok(())
}

/// Reads the files, and says what is in them.
fn usable(config: PathBuf, Beside { signed, admission }: Beside) -> Result<(), Error> {
    let files = Files { config, signed, admin: None, admission, federation: None };
    let on = files.admission()?.enabled;
    let (config, signed) = files.read()?;
    let routes = signed.map(|signed| route_classes(&signed, &config.settings)).transpose()?;
    print(&format!("{}: usable, {} events known", config.name, config.known.events.len()));
    if let Some(routes) = routes {
        print(&format!("second front: usable, {} routes", routes.len()));
    }
    if on {
        print(&"admission: usable, on");
    }
    Ok(())
}

fn print(line: &dyn Display) {
    println!("{line}");
}
