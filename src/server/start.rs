//! The start of the edge proxy: reads the files, opens the listeners, and connects to an older process.

use super::acceptor::AcceptTimer;
use super::active_config::ActiveConfig;
use super::admission::AdmissionControl;
use super::budget::ResourceBudget;
use super::endpoint_list::EndpointRegistry;
use super::event_source::EventSource;
use super::federation::FederationHandle;
use super::handover::Handover;
use super::lifecycle::Phase;
use super::listeners::Listeners;
use super::pending::PendingRequests;
use super::reload::ReloadCounters;
use super::signed_endpoint::SignedEndpoint;
use super::used_trace_ids::UsedTraceIds;
use super::{Server, ServerError};
use crate::admission::AdmissionSettings;
use crate::config::signed::SignedConfig;
use crate::config::{Config, Files, LoadedFiles};
use crate::core::Core;
use crate::deadlines::Deadlines;
use crate::feed::Feed;
use crate::front::admin::AdminFront;
use crate::front::thrift::ThriftFront;
use crate::net::fabric::Fabric;
use crate::net::{Clock, Net, Role};
use crate::upstream::Upstream;
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::io;
use std::net::SocketAddr;
use tracing::info;

/// The configuration at the start.
struct Configuration {
    files: Option<Files>,
    config: Config,
    signed: Option<SignedConfig>,
    admission: AdmissionSettings,
}

/// The environment that the server runs in: the operating system, or a process of a simulated network.
struct Environment {
    net: Net,
    clock: Clock,
    /// `None` in the simulator, which calls the handlers itself.
    signals: Option<Signals>,
}

impl Server {
    /// Reads the configuration, opens the listeners, and applies the events known at the start.
    ///
    /// # Errors
    ///
    /// Returns an error if files, settings or routes cannot be used, or if a listener cannot be opened.
    pub fn start(files: Files) -> Result<Self, ServerError> {
        let mut net = Net::new()?;
        // This comes first, since a signal that arrives before it is watched for kills the process.
        let signals = watch_signals(&mut net)?;
        let admission = files.read_admission()?;
        let LoadedFiles { config, signed } = files.read()?;
        let federation = FederationHandle::read(&files)?;
        let seed = config.seed;
        let configuration = Configuration { files: Some(files), config, signed, admission };
        let environment = Environment { net, clock: Clock::default(), signals: Some(signals) };
        let mut server = Self::start_in(environment, configuration, Handover::over_sockets)?;
        server.federation = FederationHandle::start(federation, seed)?;
        Ok(server)
    }

    /// Starts as a process of a simulated network. `config` is the configuration that would otherwise be read
    /// from the files.
    ///
    /// # Errors
    ///
    /// Returns an error if settings or routes cannot be used.
    pub fn start_on(fabric: &Fabric, process: u32, config: Config) -> Result<Self, ServerError> {
        let admission = AdmissionSettings::disabled();
        let configuration = Configuration { files: None, config, signed: None, admission };
        let environment = Environment {
            net: Net::simulated(fabric, process),
            clock: Clock::simulated(fabric),
            signals: None,
        };
        Self::start_in(environment, configuration, |addr, _| Handover::simulated(addr, fabric, process))
    }

    fn start_in(
        environment: Environment,
        configuration: Configuration,
        open_handover: impl FnOnce(SocketAddr, &mut Net) -> Handover,
    ) -> Result<Self, ServerError> {
        let (name, feed_events) =
            (configuration.config.name.clone(), configuration.config.initial_events.clone());
        let mut server = Self::build(environment, configuration, open_handover)?;
        server.update_process_share();
        server.on_feed_batch(feed_events);
        server.feed.connect(server.now, &mut server.net, &mut server.deadlines);
        server.log_addresses(&name)?;
        Ok(server)
    }

    fn build(
        Environment { mut net, clock, signals }: Environment,
        Configuration { files, config, signed, admission }: Configuration,
        open_handover: impl FnOnce(SocketAddr, &mut Net) -> Handover,
    ) -> Result<Self, ServerError> {
        let now = clock.now();
        let mut listeners = Listeners::default();
        let addr = listeners.open_thrift(config.listen, &mut net)?;
        let signed = signed.map(|signed| SignedEndpoint::start(signed, &config, &mut listeners, &mut net));
        let signed = signed.transpose()?;
        config.admin.map(|addr| listeners.open_admin(addr, &mut net)).transpose()?;
        let budget = ResourceBudget::new(&config.limits, 1);
        // An older process is taken over from only after everything that can fail has succeeded.
        let core = Core::new(config.settings.policy.clone(), config.seed, now)?;
        let handover = open_handover(addr, &mut net);
        Ok(Server {
            core,
            endpoints: EndpointRegistry::new(now, net.unix_time()),
            upstream: Upstream::new(budget.pool_limits(&config.settings.program)),
            feed: Feed::new(config.feed, config.initial_events.n),
            thrift: ThriftFront::default(),
            signed,
            admin: config.admin.map(|_| AdminFront::default()),
            config: ActiveConfig::new(files, &config),
            budget,
            reloads: ReloadCounters::default(),
            federation: FederationHandle::default(),
            handover,
            phase: Phase::Accepting,
            pending: PendingRequests::default(),
            used_trace_ids: UsedTraceIds::default(),
            listeners,
            accept_timer: AcceptTimer::default(),
            admission: AdmissionControl::new(admission),
            deadlines: Deadlines::default(),
            clock,
            now,
            net,
            signals,
        })
    }

    fn log_addresses(&self, name: &str) -> io::Result<()> {
        if let Some(addr) = self.listeners.local_addr(Role::Thrift)? {
            info!("{name} listens on {addr}");
        }
        if let Some(addr) = self.listeners.local_addr(Role::Signed)? {
            info!("signed front: listening on {addr}");
        }
        if let Some(addr) = self.listeners.local_addr(Role::Admin)? {
            info!("admin endpoint: listening on {addr}");
        }
        Ok(())
    }
}

fn watch_signals(net: &mut Net) -> io::Result<Signals> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    net.watch(&mut signals, EventSource::Signals.number())?;
    Ok(signals)
}
