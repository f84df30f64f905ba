//! The running control service: an aggregated discovery service (ADS) over gRPC around the pure parts.
//!
//! One task, the `publisher`, holds the model and publishes snapshots. Each `stream` has its own task with a
//! [`Session`](super::session::Session). It makes the next response from the newest snapshot, and only when the
//! connection has taken the previous response.

mod ads;
mod error;
mod message;
mod metrics;
mod publisher;
mod rejections;
mod stream;

use super::clock::ServiceClock;
use super::feed_watch::FeedWatch;
use super::model::Model;
use super::settings::ControlSettings;
use super::version::{Epoch, PollNumber};
use super::wire;
use crate::config::hcl_document::HclDocument;
use crate::config::{read_file, Config, ConfigError};
use ads::DiscoveryService;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::AggregatedDiscoveryServiceServer;
pub use error::ControlError;
pub use metrics::Metrics;
use publisher::Publisher;
use rejections::RejectionStore;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use stream::StreamContext;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tonic::transport::server::TcpIncoming;
use tracing::{info, warn};

/// Number of connections that may wait to be accepted. After a restart all clients connect at once, and a client whose
/// connection is dropped tries again only after a second.
const BACKLOG: u32 = 4096;
/// Number of nodes whose rejections are remembered, for each stream that may be open.
const REMEMBERED_NODES_PER_CLIENT: usize = 2;
/// A connection on which nothing was received for this long is sent a ping.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// A connection is closed if a ping is not answered within this time.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The paths of the files that a control service reads.
#[derive(Clone, Debug)]
pub struct Files {
    /// The platform's configuration: settings, initial events, the control feed's address.
    pub config: PathBuf,
    /// The operator's file with the settings of the control service, read again on SIGHUP.
    pub control: PathBuf,
}

impl Files {
    fn read_control(&self) -> Result<ControlSettings, ControlError> {
        let bytes = read_file(&self.control)?;
        let not_utf8 = |_| ConfigError::invalid(&self.control, "the file is not UTF-8");
        let text = String::from_utf8(bytes).map_err(not_utf8)?;
        let file = self.control.display().to_string();
        Ok(ControlSettings::parse(HclDocument { file: &file, text: &text })?)
    }
}

/// A running control service.
pub struct Running {
    /// The address that the service listens on.
    pub addr: SocketAddr,
    /// The counters of the service.
    pub metrics: Arc<Metrics>,
    stop: watch::Sender<bool>,
    reload: mpsc::UnboundedSender<ControlSettings>,
    server: JoinHandle<Result<(), tonic::transport::Error>>,
}

impl Running {
    /// Stops the service: ends its streams and closes its connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the gRPC server ended with one.
    pub async fn stop(self) -> Result<(), ControlError> {
        let _ = self.stop.send(true);
        self.server.await.map_err(std::io::Error::other)??;
        Ok(())
    }

    /// Replaces the settings, for a reload on SIGHUP. `listen`, `poll_wait` and `max_clients` do not change.
    pub fn reload(&self, settings: ControlSettings) {
        let _ = self.reload.send(settings);
    }
}

/// Runs the service until SIGTERM or SIGINT. SIGHUP reads the operator's file again.
///
/// # Errors
///
/// Returns an error if a file cannot be read or is invalid, or if the service cannot listen on its address.
pub fn run(files: &Files) -> Result<(), ControlError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(serve_until_signalled(files))
}

async fn serve_until_signalled(files: &Files) -> Result<(), ControlError> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = start(&Config::read(&files.config)?, files.read_control()?).await?;
    info!("control listens on {}", running.addr);
    loop {
        tokio::select! {
            _ = hangup.recv() => match files.read_control() {
                Ok(settings) => running.reload(settings),
                Err(error) => warn!("reload: {error}; the previous settings stay in effect"),
            },
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
        }
    }
    info!("stopping");
    running.stop().await?;
    info!("stopped");
    Ok(())
}

/// Starts a control service for a configuration.
///
/// # Errors
///
/// Returns an error if the settings or hot objects are invalid, or if the service cannot listen on its address.
pub async fn start(config: &Config, settings: ControlSettings) -> Result<Running, ControlError> {
    start_with_clock(config, settings, ServiceClock::system()).await
}

/// Starts a control service with the given clock.
///
/// # Errors
///
/// The same as for [`start`].
pub async fn start_with_clock(
    config: &Config,
    settings: ControlSettings,
    clock: ServiceClock,
) -> Result<Running, ControlError> {
    let mut model = new_model(config, &settings, &clock)?;
    let first_snapshot = model.snapshot(clock.now(), PollNumber(0));
    let (publish, snapshots) = watch::channel(Arc::new(first_snapshot));
    let feed = FeedWatch::start(config.feed, config.initial_events.n, settings.poll_wait, clock.clone())?;
    let listener = listen(settings.listen)?;
    let addr = listener.local_addr()?;
    let (stop, stopping) = watch::channel(false);
    let (reload, reloads) = mpsc::unbounded_channel();
    let metrics = Arc::new(Metrics::default());

    let remembered_nodes = REMEMBERED_NODES_PER_CLIENT * settings.max_clients;
    let context = StreamContext {
        snapshots,
        polls_sent: feed.polls_sent,
        metrics: Arc::clone(&metrics),
        stopping: stopping.clone(),
        rejections: Arc::new(RejectionStore::new(remembered_nodes)),
    };
    let service = DiscoveryService { context, max_clients: settings.max_clients };
    let publisher =
        Publisher::new(clock, model, &settings, publish, feed.updates, reloads, Arc::clone(&metrics));
    tokio::spawn(publisher.run(stopping.clone()));
    let server = tokio::spawn(serve(listener, service, stopping));
    Ok(Running { addr, metrics, stop, reload, server })
}

/// Creates a model and applies the initial events of the configuration.
fn new_model(
    config: &Config,
    settings: &ControlSettings,
    clock: &ServiceClock,
) -> Result<Model, ControlError> {
    let moment = clock.moment();
    // The start time in microseconds identifies the run, since no two runs start within the same microsecond.
    let epoch = Epoch(moment.unix.as_micros() as u64);
    let mut model =
        Model::new(config.settings.clone(), config.seed, settings, wire::encode, epoch, moment.now)?;
    model.apply(moment, &config.initial_events);
    model.tick(moment.now);
    Ok(model)
}

fn listen(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

async fn serve(
    listener: TcpListener,
    service: DiscoveryService,
    mut stopping: watch::Receiver<bool>,
) -> Result<(), tonic::transport::Error> {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let stopped = async move {
        let _ = stopping.wait_for(|stop| *stop).await;
    };
    tonic::transport::Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(AggregatedDiscoveryServiceServer::new(service))
        .serve_with_incoming_shutdown(incoming, stopped)
        .await
}
