//! One trait for the gRPC messages of the two protocol variants.

use crate::control::resource::ResourceType;
use crate::control::session::{ClientRequest, ServerResponse, Variant};
use crate::control::wire;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use tonic::Status;

/// A request message of either variant. With it, one stream task serves both variants.
pub(super) trait RequestMessage: Send + 'static {
    /// The variant's response message.
    type Response: Send + 'static;
    /// The protocol variant of the message.
    const VARIANT: Variant;

    /// Returns the client's node. Only the first message of a stream must hold it.
    fn node(&self) -> Option<&Node>;

    /// Returns the type URL of the requested resources.
    fn type_url(&self) -> &str;

    /// Converts the message to a request.
    fn into_request(self) -> ClientRequest;

    /// Converts a response to its message.
    fn response(response: &ServerResponse) -> Self::Response;

    /// Returns the type of the requested resources. A type that is not served here is an error.
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
