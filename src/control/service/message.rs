//! The gRPC messages of the two protocol variants, behind one trait.

use crate::control::resource::ResourceType;
use crate::control::session::{ClientRequest, ServerResponse, Variant};
use crate::control::wire;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use tonic::Status;

/// The request messages of the two variants, so that one task serves both.
pub(super) trait RequestMessage: Send + 'static {
    /// The variant's response message.
    type Response: Send + 'static;
    /// The variant.
    const VARIANT: Variant;

    /// The client; only a stream's first message has to name it.
    fn node(&self) -> Option<&Node>;

    /// The URL of the type that it is about.
    fn type_url(&self) -> &str;

    /// The request.
    fn into_request(self) -> ClientRequest;

    /// The message of a response.
    fn response(response: &ServerResponse) -> Self::Response;

    /// The type that it is about.
    fn resource_type(&self) -> Result<ResourceType, Status> {
        let url = self.type_url();
        wire::resource_type(url)
            .ok_or_else(|| Status::invalid_argument(format!("nothing of type {url:?} is told here")))
    }
}

impl RequestMessage for DiscoveryRequest {
    type Response = DiscoveryResponse;
    const VARIANT: Variant = Variant::StateOfTheWorld;

    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn type_url(&self) -> &str {
        &self.type_url
    }

    fn into_request(self) -> ClientRequest {
        wire::request(self)
    }

    fn response(response: &ServerResponse) -> DiscoveryResponse {
        wire::response(response)
    }
}

impl RequestMessage for DeltaDiscoveryRequest {
    type Response = DeltaDiscoveryResponse;
    const VARIANT: Variant = Variant::Incremental;

    fn node(&self) -> Option<&Node> {
        self.node.as_ref()
    }

    fn type_url(&self) -> &str {
        &self.type_url
    }

    fn into_request(self) -> ClientRequest {
        wire::delta_request(self)
    }

    fn response(response: &ServerResponse) -> DeltaDiscoveryResponse {
        wire::delta_response(response)
    }
}
