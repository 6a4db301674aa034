//! A caller's request while it is served.

use std::sync::Arc;

use bv_platform::CallerFacts;
use bv_route::{Route, RouteTable};
use bv_types::{Millis, ServiceId};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;

/// A request that was read whole, with its route.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub method: Method,
    pub uri: Uri,
    /// Headers without those of the connection and of this system.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub facts: CallerFacts,
    pub table: Arc<RouteTable>,
    pub route: Route,
    pub service: ServiceId,
    /// When its head was read.
    pub arrived: Millis,
    /// When its answer must be complete.
    pub deadline: Millis,
}

impl CallerRequest {
    /// Time that is left.
    pub fn remaining(&self, now: Millis) -> Millis {
        self.deadline - now
    }

    /// The request for a backend server, without the marks of this system.
    pub fn to_forward(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }
}
