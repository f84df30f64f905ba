//! The gRPC service: opens a stream for each client, in either variant of the protocol.

use super::message::RequestMessage;
use super::metrics::Metrics;
use super::stream::{Stream, StreamContext};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::AggregatedDiscoveryService;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

/// Number of responses that may wait until a stream's connection takes them.
const RESPONSE_BUFFER: usize = 1;

/// Counts a stream as open until the permit is dropped, so that the number of open streams is limited.
struct StreamPermit(Arc<Metrics>);

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.0.clients.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The gRPC service, shared by all connections.
pub(super) struct DiscoveryService {
    pub(super) context: StreamContext,
    /// Maximum number of open streams.
    pub(super) max_clients: usize,
}

/// The responses of a stream, as the gRPC server takes them.
type Responses<M> = ReceiverStream<Result<<M as RequestMessage>::Response, Status>>;

impl DiscoveryService {
    fn permit(&self) -> Result<StreamPermit, Status> {
        let open_before = self.context.metrics.clients.fetch_add(1, Ordering::SeqCst);
        let permit = StreamPermit(Arc::clone(&self.context.metrics));
        if open_before < self.max_clients {
            return Ok(permit);
        }
        let text = format!("{} streams are open, the most there may be", self.max_clients);
        Err(Status::resource_exhausted(text))
    }

    fn open<M: RequestMessage>(
        &self,
        request: Request<Streaming<M>>,
    ) -> Result<Response<Responses<M>>, Status> {
        let permit = self.permit()?;
        let peer = request.remote_addr();
        let (sender, responses) = mpsc::channel(RESPONSE_BUFFER);
        let stream = Stream::new(self.context.clone(), request.into_inner(), sender);
        tokio::spawn(async move {
            let peer = peer.map_or_else(String::new, |peer| peer.to_string());
            stream.run(&peer).await;
            drop(permit);
        });
        Ok(Response::new(ReceiverStream::new(responses)))
    }
}

#[tonic::async_trait]
impl AggregatedDiscoveryService for DiscoveryService {
    type StreamAggregatedResourcesStream = Responses<DiscoveryRequest>;

    async fn stream_aggregated_resources(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamAggregatedResourcesStream>, Status> {
        self.open(request)
    }

    type DeltaAggregatedResourcesStream = Responses<DeltaDiscoveryRequest>;

    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaAggregatedResourcesStream>, Status> {
        self.open(request)
    }
}
