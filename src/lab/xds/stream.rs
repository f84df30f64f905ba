//! A client's stream, driven by hand: for tests that answer, wait or reject as they like.

use super::state::{ClientState, Response};
use crate::control::resource::ResourceType;
use crate::control::session::Variant;
use crate::control::version::Nonce;
use crate::control::wire;
use crate::lab::views::View;
use envoy_types::pb::envoy::config::core::v3::{Locality, Node};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use envoy_types::pb::google::rpc::Status as RpcStatus;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status, Streaming};

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests that may wait to be sent.
const REQUEST_BUFFER: usize = 16;

/// What a client does.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// The control service.
    pub target: SocketAddr,
    /// The client's name: `node.id`.
    pub name: String,
    /// Its point: `node.locality.zone`.
    pub point: String,
    /// The protocol variant that it uses.
    pub variant: Variant,
    /// Rejects the first view of endpoints that lacks this server.
    pub required_server: Option<String>,
}

/// A response as a client received it.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// The resource type.
    pub resource_type: ResourceType,
    /// Its version.
    pub version: String,
    /// Its nonce, for the answer.
    pub nonce: Nonce,
    /// What the client knows by it.
    pub view: View,
}

/// A request of either variant.
#[derive(Default)]
struct Request {
    type_url: String,
    /// State of the world: the version in force.
    version: String,
    /// The nonce of the response that it answers.
    nonce: String,
    error: Option<RpcStatus>,
    /// Incremental: by name the versions of the resources in force.
    initial_versions: HashMap<String, String>,
}

/// Requests go in by the sender, responses come out.
enum MessageStream {
    StateOfTheWorld(mpsc::Sender<DiscoveryRequest>, Streaming<DiscoveryResponse>),
    Incremental(mpsc::Sender<DeltaDiscoveryRequest>, Streaming<DeltaDiscoveryResponse>),
}

impl MessageStream {
    async fn open(variant: Variant, channel: Channel) -> Result<Self, Status> {
        let mut client = AggregatedDiscoveryServiceClient::new(channel);
        match variant {
            Variant::StateOfTheWorld => {
                let (sender, requests) = mpsc::channel(REQUEST_BUFFER);
                let responses = client.stream_aggregated_resources(ReceiverStream::new(requests)).await?;
                Ok(MessageStream::StateOfTheWorld(sender, responses.into_inner()))
            }
            Variant::Incremental => {
                let (sender, requests) = mpsc::channel(REQUEST_BUFFER);
                let responses = client.delta_aggregated_resources(ReceiverStream::new(requests)).await?;
                Ok(MessageStream::Incremental(sender, responses.into_inner()))
            }
        }
    }

    /// Sends a request; a stream that has ended says so at its next response.
    async fn send(&self, node: Option<Node>, request: Request) {
        match self {
            MessageStream::StateOfTheWorld(sender, _) => {
                let message = DiscoveryRequest {
                    node,
                    type_url: request.type_url,
                    version_info: request.version,
                    response_nonce: request.nonce,
                    error_detail: request.error,
                    ..DiscoveryRequest::default()
                };
                let _ = sender.send(message).await;
            }
            MessageStream::Incremental(sender, _) => {
                let message = DeltaDiscoveryRequest {
                    node,
                    type_url: request.type_url,
                    response_nonce: request.nonce,
                    error_detail: request.error,
                    initial_resource_versions: request.initial_versions,
                    ..DeltaDiscoveryRequest::default()
                };
                let _ = sender.send(message).await;
            }
        }
    }

    async fn receive(&mut self) -> Result<Option<Response>, Status> {
        match self {
            MessageStream::StateOfTheWorld(_, responses) => {
                responses.message().await?.map(Response::from_state_of_the_world).transpose()
            }
            MessageStream::Incremental(_, responses) => {
                responses.message().await?.map(Response::from_incremental).transpose()
            }
        }
    }
}

/// A client's stream.
pub struct ClientStream {
    variant: Variant,
    /// The client, until the first request has named it.
    node: Option<Node>,
    message_stream: MessageStream,
}

impl ClientStream {
    /// Connects and opens a stream.
    ///
    /// # Errors
    ///
    /// No connection, or the service's rejection.
    pub async fn open(plan: &ClientPlan) -> Result<Self, Status> {
        let endpoint = Endpoint::from_shared(format!("http://{}", plan.target))
            .map_err(|error| Status::internal(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(|error| Status::unavailable(error.to_string()))?;
        let locality = Locality { zone: plan.point.clone(), ..Locality::default() };
        let node = Node { id: plan.name.clone(), locality: Some(locality), ..Node::default() };
        let message_stream = MessageStream::open(plan.variant, channel).await?;
        Ok(ClientStream { variant: plan.variant, node: Some(node), message_stream })
    }

    /// Subscribes to all resources of a type, stating what is in force of it.
    pub async fn subscribe(&mut self, resource_type: ResourceType, state: &ClientState) {
        let request = Request {
            type_url: wire::type_url(resource_type).to_owned(),
            version: state.version(resource_type),
            initial_versions: state.resource_versions(resource_type),
            ..Request::default()
        };
        self.send(request).await;
    }

    /// Accepts a response (ACK).
    pub async fn ack(&mut self, received: &ReceivedResponse) {
        let request = answer(received, &received.version);
        self.send(request).await;
    }

    /// Rejects a response (NACK) for a reason; `in_force` is the version that stays in force, empty for none.
    pub async fn nack(&mut self, received: &ReceivedResponse, in_force: &str, reason: &str) {
        let code = Code::InvalidArgument as i32;
        let error = RpcStatus { code, message: reason.to_owned(), details: Vec::new() };
        let request = Request { error: Some(error), ..answer(received, in_force) };
        self.send(request).await;
    }

    async fn send(&mut self, request: Request) {
        // Only a stream's first request has to name the node.
        self.message_stream.send(self.node.take(), request).await;
    }

    /// Waits for the next response and takes it into `state`, without answering it. `None`: the stream has ended.
    ///
    /// # Errors
    ///
    /// The status with which the stream ended, or a response that cannot be read.
    pub async fn receive(&mut self, state: &mut ClientState) -> Result<Option<ReceivedResponse>, Status> {
        let Some(response) = self.message_stream.receive().await? else { return Ok(None) };
        let resource_type = response.resource_type;
        let version = response.version.clone();
        let nonce = response.nonce.clone();
        state.apply(self.variant, response);
        let view = state.view(resource_type, &version)?;
        Ok(Some(ReceivedResponse { resource_type, version, nonce, view }))
    }
}

fn answer(received: &ReceivedResponse, in_force: &str) -> Request {
    Request {
        type_url: wire::type_url(received.resource_type).to_owned(),
        version: in_force.to_owned(),
        nonce: received.nonce.0.clone(),
        ..Request::default()
    }
}
