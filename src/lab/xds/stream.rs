//! A client's stream. Tests can use it directly to decide when a response is read, accepted or rejected.

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

/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of requests that may be queued for sending.
const REQUEST_BUFFER: usize = 16;

/// Identity and behaviour of a client.
#[derive(Clone, Debug)]
pub struct ClientPlan {
    /// Address of the control service.
    pub target: SocketAddr,
    /// Name of the client, sent as `node.id`.
    pub name: String,
    /// Point of the client, sent as `node.locality.zone`.
    pub point: String,
    /// Protocol variant that the client uses.
    pub variant: Variant,
    /// Server that must be in the endpoints: the client rejects the first view of them without it. `None` if
    /// the client accepts every view.
    pub required_server: Option<String>,
}

/// A response as a client received it.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// Resource type of the response.
    pub resource_type: ResourceType,
    /// Version of the response.
    pub version: String,
    /// Nonce of the response, which the ACK or NACK repeats.
    pub nonce: Nonce,
    /// View of the resource type after the response.
    pub view: View,
}

/// A discovery request of either variant.
#[derive(Default)]
struct Request {
    type_url: String,
    /// Version in force; sent only in the state-of-the-world variant.
    version: String,
    /// Nonce of the response that the request answers.
    nonce: String,
    error: Option<RpcStatus>,
    /// Versions of the resources in force, by name; sent only in the incremental variant.
    initial_versions: HashMap<String, String>,
}

/// A stream of either variant: the sender of requests, and the responses.
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

    /// Sends a request. A failure is ignored, since a stream that has ended reports it on the next receive.
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

/// An open stream of a client.
pub struct ClientStream {
    variant: Variant,
    /// Identity of the client, until the first request has sent it.
    node: Option<Node>,
    message_stream: MessageStream,
}

impl ClientStream {
    /// Connects and opens a stream.
    ///
    /// # Errors
    ///
    /// Returns a status if the service cannot be reached or rejects the stream.
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

    /// Subscribes to all resources of a type and sends the versions that are in force.
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

    /// Rejects a response (NACK) with a reason; `in_force` is the version that stays in force, empty for
    /// none.
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

    /// Waits for the next response and applies it to `state`, without answering it. Returns `None` if the
    /// stream has ended.
    ///
    /// # Errors
    ///
    /// Returns the status with which the stream ended, or an internal error if the response cannot be
    /// decoded.
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
