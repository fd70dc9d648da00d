//! Traces: a span for each hop of a request, sent to a collector.
//!
//! Each process makes the spans of its own hops and sends them by OpenTelemetry
//! OTLP over HTTP as JSON. What joins them is the W3C `traceparent`, which comes
//! from the caller and goes on with each hop. Whether a request is traced at all
//! is the caller's decision where it sent one; every other request is traced.
//!
//! Without a collector a span is only the text that is passed on, so a request
//! costs one copied string and a token nothing. With one, ended spans wait in a
//! bounded queue; a collector that does not keep up loses spans, never requests.
//! A task of the runtime sends them, because the batches of the library run on a
//! thread of their own, where its HTTP client has no runtime.

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

/// Ended spans that wait for the collector at the most.
const QUEUE_SPANS: usize = 4_096;
/// Spans in one message to the collector at the most.
const BATCH_SPANS: usize = 512;
/// How long spans are gathered before they are sent, in milliseconds.
const GATHER_MS: u64 = 500;
/// How long a collector may take to answer, in milliseconds.
const EXPORT_TIMEOUT_MS: u64 = 2_000;
/// Where a collector takes spans, after its address.
const COLLECTOR_PATH: &str = "/v1/traces";

/// Makes spans, or none where there is no collector.
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
    /// Starts to send the spans of a process to a collector at `http://IP:PORT`, if there is one.
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
                log::error!("no traces are sent to {collector}: {cause}");
                return Tracer(None);
            }
        };
        let resource = Resource::builder_empty()
            .with_service_name("cactusroad")
            .with_attribute(KeyValue::new("service.instance.id", process.to_owned()))
            .build();
        exporter.set_resource(&resource);
        let (queue, spans) = mpsc::channel(QUEUE_SPANS);
        tokio::spawn(send(exporter, spans));
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOn)))
            .with_resource(resource)
            .with_span_processor(Queue(queue.clone()))
            .build();
        let tracer = provider.tracer("cactusroad");
        Tracer(Some(Active { tracer, queue }))
    }

    /// Begins a span under the parent that `traceparent` names, or a new trace without one.
    pub(crate) fn span(&self, name: &'static str, kind: SpanKind, traceparent: &str) -> Span {
        let Some(active) = &self.0 else {
            return Span(State::Off(traceparent.into()));
        };
        let parent = TraceContextPropagator::new()
            .extract_with_context(&Context::new(), &Parent(traceparent));
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

    /// Waits until the spans that have ended are sent, or the collector takes too long.
    pub(crate) async fn flush(&self) {
        let Some(active) = &self.0 else {
            return;
        };
        let (done, sent) = oneshot::channel();
        let flushing = async {
            if active.queue.send(Message::Flush(done)).await.is_ok() {
                // A task that is gone has nothing left to send.
                let _ = sent.await;
            }
        };
        let patience = Duration::from_millis(2 * EXPORT_TIMEOUT_MS);
        if time::timeout(patience, flushing).await.is_err() {
            log::warn!("the last traces were not sent in time");
        }
    }
}

/// One hop of a request, from its begin until it is dropped.
pub(crate) struct Span(State);

enum State {
    Off(Arc<str>),
    On {
        span: Box<Mutex<SdkSpan>>,
        traceparent: Arc<str>,
    },
}

impl Span {
    /// Names this span as the parent of the next hop.
    pub(crate) fn traceparent(&self) -> &str {
        match &self.0 {
            State::Off(traceparent) | State::On { traceparent, .. } => traceparent,
        }
    }

    /// Notes a property of the hop.
    pub(crate) fn note(&self, key: &'static str, value: impl fmt::Display) {
        self.change(|span| span.set_attribute(KeyValue::new(key, value.to_string())));
    }

    /// Notes that the hop failed.
    pub(crate) fn refuse(&self, refusal: &Refusal) {
        self.change(|span| {
            let kind: &'static str = refusal.kind.into();
            let effect: &'static str = refusal.effect.into();
            span.set_attribute(KeyValue::new("refusal.kind", kind));
            span.set_attribute(KeyValue::new("refusal.effect", effect));
            span.set_status(Status::error(refusal.message.to_string()));
        });
    }

    fn change(&self, act: impl FnOnce(&mut SdkSpan)) {
        if let State::On { span, .. } = &self.0 {
            act(&mut span.lock().unwrap_or_else(PoisonError::into_inner));
        }
    }
}

/// The one header from which a parent is read.
struct Parent<'a>(&'a str);

impl Extractor for Parent<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        (key == "traceparent" && !self.0.is_empty()).then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec!["traceparent"]
    }
}

/// Hands ended spans to the task that sends them.
#[derive(Debug)]
struct Queue(mpsc::Sender<Message>);

impl SpanProcessor for Queue {
    fn on_start(&self, _span: &mut SdkSpan, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        // A full queue loses the span; nothing waits for a collector.
        let _ = self.0.try_send(Message::Span(Box::new(span)));
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

/// Sends spans in batches until every tracer is gone.
async fn send(exporter: SpanExporter, mut spans: mpsc::Receiver<Message>) {
    let mut messages = Vec::with_capacity(BATCH_SPANS);
    let mut is_failing = false;
    while spans.recv_many(&mut messages, BATCH_SPANS).await > 0 {
        let is_urgent = messages.iter().any(|m| matches!(m, Message::Flush(_)));
        if !is_urgent && messages.len() < BATCH_SPANS {
            time::sleep(Duration::from_millis(GATHER_MS)).await;
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
            report(&sent, &mut is_failing);
        }
        for done in flushes {
            // Whoever asked may have stopped waiting.
            let _ = done.send(());
        }
    }
}

/// Logs the first failure of a row, and its end.
fn report(sent: &OTelSdkResult, is_failing: &mut bool) {
    match sent {
        Ok(()) if *is_failing => log::info!("traces are sent again"),
        Err(cause) if !*is_failing => log::warn!("traces are lost: {cause}"),
        _ => {}
    }
    *is_failing = sent.is_err();
}
