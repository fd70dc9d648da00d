//! Distributed tracing: one span for each hop of a request, exported to a collector.
//!
//! Each process creates the spans of its own hops and exports them as OpenTelemetry OTLP, JSON over
//! HTTP. The W3C `traceparent` of the caller is propagated with each hop and links the spans. If
//! the caller sent one, its sampling flag decides whether the request is traced; all other requests
//! are traced.
//!
//! Without a collector, a span only holds the `traceparent` to propagate: a request costs one string
//! copy and a token nothing. With a collector, ended spans wait in a bounded queue. If the collector
//! is too slow, spans are dropped and requests are not delayed. A Tokio task exports the spans,
//! because the batch processor of the OpenTelemetry SDK runs on a thread of its own, where its HTTP
//! client has no runtime.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use cactusroad_core::refusal::Refusal;
use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, TextMapPropagator},
    trace::{Span as _, SpanBuilder, Status, Tracer as _, TracerProvider},
};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{
        Sampler, SdkTracer, SdkTracerProvider, Span as SdkSpan, SpanData, SpanExporter as _,
        SpanProcessor,
    },
};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

pub(crate) use opentelemetry::trace::SpanKind;

/// Capacity of the queue of ended spans.
const QUEUE_SPANS: usize = 4_096;
/// Maximum number of spans in one export request.
const BATCH_SPANS: usize = 512;
/// Delay before an incomplete batch is exported, in milliseconds.
const BATCH_DELAY_MS: u64 = 500;
/// Timeout of an export request, in milliseconds.
const EXPORT_TIMEOUT_MS: u64 = 2_000;
/// The path at which a collector accepts OTLP spans.
const COLLECTOR_PATH: &str = "/v1/traces";

/// Creates spans; they record nothing if no collector is configured.
#[derive(Clone, Debug, Default)]
pub struct Tracer(Option<Active>);

#[derive(Clone, Debug)]
struct Active {
    tracer: SdkTracer,
    queue: mpsc::Sender<Message>,
}

#[derive(Debug)]
enum Message {
    Span(Box<SpanData>),
    Flush(oneshot::Sender<()>),
}

impl Tracer {
    /// Starts the export to a collector at `http://IP:PORT`, if there is one.
    pub(crate) fn start(process: &str, collector: Option<&str>) -> Tracer {
        let Some(collector) = collector else {
            return Tracer(None);
        };
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(format!("{collector}{COLLECTOR_PATH}"))
            .with_timeout(Duration::from_millis(EXPORT_TIMEOUT_MS))
            .build();
        let mut exporter = match exporter {
            Ok(exporter) => exporter,
            Err(cause) => {
                log::error!("tracing is off: cannot create the exporter for {collector}: {cause}");
                return Tracer(None);
            }
        };
        let resource = Resource::builder_empty()
            .with_service_name("cactusroad")
            .with_attribute(KeyValue::new("service.instance.id", process.to_owned()))
            .build();
        exporter.set_resource(&resource);
        let (queue, spans) = mpsc::channel(QUEUE_SPANS);
        tokio::spawn(export(exporter, spans));
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOn)))
            .with_resource(resource)
            .with_span_processor(QueueProcessor(queue.clone()))
            .build();
        let tracer = provider.tracer("cactusroad");
        Tracer(Some(Active { tracer, queue }))
    }

    /// Starts a span as a child of `traceparent`, or as the root of a new trace if that is not valid.
    pub(crate) fn span(&self, name: &'static str, kind: SpanKind, traceparent: &str) -> Span {
        let Some(active) = &self.0 else {
            return Span(State::Off(traceparent.into()));
        };
        let parent = TraceContextPropagator::new()
            .extract_with_context(&Context::new(), &TraceparentCarrier(traceparent));
        let builder = SpanBuilder::from_name(name).with_kind(kind);
        let span = active.tracer.build_with_context(builder, &parent);
        let context = span.span_context();
        let traceparent = match context.is_valid() {
            true => format!(
                "00-{}-{}-{:02x}",
                context.trace_id(),
                context.span_id(),
                context.trace_flags().to_u8()
            ),
            false => traceparent.to_owned(),
        };
        Span(State::On {
            span: Box::new(Mutex::new(span)),
            traceparent: traceparent.into(),
        })
    }

    /// Waits until the ended spans are exported, for at most twice the export timeout.
    pub(crate) async fn flush(&self) {
        let Some(active) = &self.0 else {
            return;
        };
        let (done, sent) = oneshot::channel();
        let flushing = async {
            if active.queue.send(Message::Flush(done)).await.is_ok() {
                // An error means that the export task has ended and no spans are left.
                let _ = sent.await;
            }
        };
        let timeout = Duration::from_millis(2 * EXPORT_TIMEOUT_MS);
        if time::timeout(timeout, flushing).await.is_err() {
            log::warn!("timed out while exporting the last spans");
        }
    }
}

/// A span for one hop of a request; it ends when dropped.
pub(crate) struct Span(State);

enum State {
    Off(Arc<str>),
    On {
        span: Box<Mutex<SdkSpan>>,
        traceparent: Arc<str>,
    },
}

impl Span {
    /// Returns the `traceparent` header for the next hop.
    pub(crate) fn traceparent(&self) -> &str {
        match &self.0 {
            State::Off(traceparent) | State::On { traceparent, .. } => traceparent,
        }
    }

    /// Sets an attribute.
    pub(crate) fn set_attribute(&self, key: &'static str, value: impl fmt::Display) {
        self.update(|span| span.set_attribute(KeyValue::new(key, value.to_string())));
    }

    /// Sets the status to an error and records the kind and effect of the refusal.
    pub(crate) fn record_refusal(&self, refusal: &Refusal) {
        self.update(|span| {
            let kind: &'static str = refusal.kind.into();
            let effect: &'static str = refusal.effect.into();
            span.set_attribute(KeyValue::new("refusal.kind", kind));
            span.set_attribute(KeyValue::new("refusal.effect", effect));
            span.set_status(Status::error(refusal.message.to_string()));
        });
    }

    fn update(&self, apply: impl FnOnce(&mut SdkSpan)) {
        if let State::On { span, .. } = &self.0 {
            apply(&mut span.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }
}

/// A carrier that holds only the `traceparent` header.
struct TraceparentCarrier<'a>(&'a str);

impl Extractor for TraceparentCarrier<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        (key == "traceparent" && !self.0.is_empty()).then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec!["traceparent"]
    }
}

/// A span processor that queues ended spans for the export task.
#[derive(Debug)]
struct QueueProcessor(mpsc::Sender<Message>);

impl SpanProcessor for QueueProcessor {
    fn on_start(&self, _span: &mut SdkSpan, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        // A full queue drops the span, so that requests never wait for the collector.
        let _ = self.0.try_send(Message::Span(Box::new(span)));
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

/// Exports spans in batches until all tracers are dropped.
async fn export(exporter: SpanExporter, mut spans: mpsc::Receiver<Message>) {
    let mut messages = Vec::with_capacity(BATCH_SPANS);
    let mut is_failing = false;
    while spans.recv_many(&mut messages, BATCH_SPANS).await > 0 {
        let is_urgent = messages.iter().any(|m| matches!(m, Message::Flush(_)));
        if !is_urgent && messages.len() < BATCH_SPANS {
            time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
            while messages.len() < BATCH_SPANS
                && let Ok(message) = spans.try_recv()
            {
                messages.push(message);
            }
        }
        let mut batch = Vec::with_capacity(messages.len());
        let mut flushes = Vec::new();
        for message in messages.drain(..) {
            match message {
                Message::Span(span) => batch.push(*span),
                Message::Flush(done) => flushes.push(done),
            }
        }
        if !batch.is_empty() {
            let sent = exporter.export(batch).await;
            log_export_change(&sent, &mut is_failing);
        }
        for done in flushes {
            // The caller of `flush` may have timed out.
            let _ = done.send(());
        }
    }
}

/// Logs the first of consecutive export failures, and the recovery.
fn log_export_change(sent: &OTelSdkResult, is_failing: &mut bool) {
    match sent {
        Ok(()) if *is_failing => log::info!("span export recovered"),
        Err(cause) if !*is_failing => {
            log::warn!("cannot export spans; dropping them until the collector recovers: {cause}")
        }
        _ => {}
    }
    *is_failing = sent.is_err();
}
