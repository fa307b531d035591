//! Trace spans for the hops of a call, exported by OTLP over HTTP.
//!
//! The spans continue the caller's trace context (W3C `traceparent`). The spans of
//! a call that is restricted to home regions have no attributes, since the
//! collector may be in another region.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry::trace::TracerProvider;
use opentelemetry_http::HttpClient;
use opentelemetry_http::HttpError;
use opentelemetry_otlp::Protocol;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_otlp::WithHttpConfig;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;
use tokio::runtime::Handle;

const TRACEPARENT: &str = "traceparent";

/// The path at which a collector receives traces (OTLP over HTTP).
const TRACES_PATH: &str = "/v1/traces";

/// The timeout of one export, after which its spans are dropped.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates and exports the spans of one daemon.
pub struct HopTracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

impl HopTracer {
    /// Opens an exporter to the collector's URL; see [`trace_endpoint`].
    ///
    /// Of the calls without a trace context, `per_mille` of 1000 are traced; a call
    /// with one is traced according to its sampled flag.
    ///
    /// # Errors
    ///
    /// When the exporter does not accept the URL.
    pub fn open(
        collector: &str,
        per_mille: u32,
        host: &str,
        failure_domain: &str,
        runtime: Handle,
    ) -> Result<HopTracer> {
        let endpoint = trace_endpoint(collector);
        let exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(ExportClient::new(runtime))
            .with_protocol(Protocol::HttpBinary)
            .with_endpoint(endpoint)
            .with_timeout(EXPORT_TIMEOUT)
            .build()?;
        let ratio = f64::from(per_mille) / 1000.0;
        let resource = Resource::builder()
            .with_service_name("radishgauged")
            .with_attribute(KeyValue::new("host.name", host.to_owned()))
            .with_attribute(KeyValue::new("failure_domain", failure_domain.to_owned()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(
                ratio,
            ))))
            .with_resource(resource)
            .build();
        let tracer = provider.tracer("radishgauge");
        let propagator = TraceContextPropagator::new();
        Ok(HopTracer {
            provider,
            tracer,
            propagator,
        })
    }

    /// Starts the span of one hop as a child of the given trace context.
    pub fn start(&self, name: &'static str, kind: SpanKind, traceparent: &str) -> HopSpan {
        let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
        let parent = self
            .propagator
            .extract_with_context(&Context::new(), &carrier);
        let span = self
            .tracer
            .span_builder(name)
            .with_kind(kind)
            .start_with_context(&self.tracer, &parent);
        let context = parent.with_span(span);
        let mut next = HashMap::new();
        self.propagator.inject_context(&context, &mut next);
        let traceparent = next.remove(TRACEPARENT).unwrap_or_default();
        HopSpan {
            context,
            traceparent,
        }
    }

    /// Exports all pending spans.
    pub fn flush(&self) {
        let _ = self.provider.force_flush();
    }

    /// Exports all pending spans and shuts down the exporter.
    pub fn shutdown(&self) {
        let _ = self.provider.shutdown();
    }
}

/// Returns the URL that spans are posted to, for a collector's base URL or for
/// the full URL.
///
/// # Examples
///
/// ```
/// use radishgauge_daemon::traces::trace_endpoint;
///
/// let endpoint = "http://127.0.0.1:4318/v1/traces";
/// assert_eq!(trace_endpoint("http://127.0.0.1:4318/"), endpoint);
/// assert_eq!(trace_endpoint(endpoint), endpoint);
/// ```
pub fn trace_endpoint(collector: &str) -> String {
    let base = collector.trim_end_matches('/');
    let base = base.strip_suffix(TRACES_PATH).unwrap_or(base);
    format!("{base}{TRACES_PATH}")
}

impl fmt::Debug for HopTracer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HopTracer").finish_non_exhaustive()
    }
}

/// The span of one hop, which ends when the value is dropped.
#[derive(Debug)]
pub struct HopSpan {
    context: Context,
    traceparent: String,
}

impl HopSpan {
    /// Returns the trace context for the next hop.
    pub fn traceparent(&self) -> &str {
        &self.traceparent
    }

    /// Adds an attribute; must not be called for a call that is restricted to home
    /// regions.
    pub fn set(&self, name: &'static str, value: String) {
        self.context
            .span()
            .set_attribute(KeyValue::new(name, value));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

/// Sends exports with `hyper-util` on the daemon's own runtime.
struct ExportClient {
    client: Arc<Client<HttpConnector, Full<Bytes>>>,
    runtime: Handle,
}

impl ExportClient {
    fn new(runtime: Handle) -> ExportClient {
        let client = Arc::new(Client::builder(TokioExecutor::new()).build_http());
        ExportClient { client, runtime }
    }
}

impl fmt::Debug for ExportClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ExportClient").finish_non_exhaustive()
    }
}

impl HttpClient for ExportClient {
    fn send_bytes<'a, 'b>(
        &'a self,
        request: Request<Bytes>,
    ) -> futures_util::future::BoxFuture<'b, Result<Response<Bytes>, HttpError>>
    where
        Self: 'b,
        'a: 'b,
    {
        let client = Arc::clone(&self.client);
        let sent = self.runtime.spawn(async move {
            let work = async {
                let response = client.request(request.map(Full::new)).await?;
                let (parts, body) = response.into_parts();
                let body = body.collect().await?.to_bytes();
                Ok::<_, HttpError>(Response::from_parts(parts, body))
            };
            tokio::time::timeout(EXPORT_TIMEOUT, work).await?
        });
        Box::pin(async move { sent.await? })
    }
}
