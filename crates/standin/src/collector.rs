//! A stand-in for a trace collector, with OTLP over HTTP and protobuf bodies.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceResponse;
use opentelemetry_proto::tonic::trace::v1::Span;
use prost::Message;
use tokio::sync::watch;

use crate::server::LoopbackServer;
use crate::server::ServerResult;

/// Receives spans at `POST /v1/traces` on loopback.
pub struct CollectorStandIn {
    server: LoopbackServer,
    shared: Arc<CollectorShared>,
}

struct CollectorShared {
    spans: Mutex<Vec<Span>>,
    count: watch::Sender<usize>,
}

impl CollectorStandIn {
    /// Starts a collector that has no spans.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port is free.
    pub async fn start() -> io::Result<CollectorStandIn> {
        let shared = Arc::new(CollectorShared {
            spans: Mutex::default(),
            count: watch::Sender::new(0),
        });
        let served = shared.clone();
        let server = LoopbackServer::start(move |request| {
            let shared = served.clone();
            async move { shared.answer(request).await }
        })
        .await?;
        Ok(CollectorStandIn { server, shared })
    }

    /// Returns the address on which the collector listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the URL to which spans are posted, in the form that a daemon's
    /// settings use.
    pub fn url(&self) -> String {
        format!("http://{}/v1/traces", self.server.address())
    }

    /// Returns the number of spans received.
    pub fn count(&self) -> usize {
        *self.shared.count.borrow()
    }

    /// Returns the received spans in the order of their arrival.
    pub fn spans(&self) -> Vec<Span> {
        self.shared
            .spans
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits until at least `count` spans have arrived, and returns all spans.
    pub async fn wait_for(&self, count: usize) -> Vec<Span> {
        // `self` owns the sender, so the wait cannot fail.
        let _ = self
            .shared
            .count
            .subscribe()
            .wait_for(|seen| *seen >= count)
            .await;
        self.spans()
    }
}

impl CollectorShared {
    async fn answer(&self, request: Request<Incoming>) -> ServerResult {
        if request.uri().path() != "/v1/traces" {
            return Ok(status(StatusCode::NOT_FOUND));
        }
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        let Ok(export) = ExportTraceServiceRequest::decode(body) else {
            return Ok(status(StatusCode::BAD_REQUEST));
        };
        let scopes = export
            .resource_spans
            .into_iter()
            .flat_map(|resource| resource.scope_spans);
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.extend(scopes.flat_map(|scope| scope.spans));
        let count = spans.len();
        drop(spans);
        self.count.send_replace(count);
        let reply = ExportTraceServiceResponse::default().encode_to_vec();
        Ok(Response::new(Full::new(reply.into())))
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
