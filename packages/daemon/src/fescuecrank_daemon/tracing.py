"""OpenTelemetry spans, linked across processes by W3C `traceparent` headers."""

import sys
from collections.abc import Sequence
from typing import TextIO

import orjson
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from fescuecrank_daemon.settings import TraceExporter, TracingSettings

TRACEPARENT = "traceparent"


class JsonLinesExporter(SpanExporter):
    """Writes each span as one line of JSON."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            self._stream.write(orjson.dumps(_span_fields(span)).decode() + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS


def _span_fields(span: ReadableSpan) -> dict:
    context = span.get_span_context()
    return {
        "trace_id": trace.format_trace_id(context.trace_id),
        "span_id": trace.format_span_id(context.span_id),
        "parent_id": trace.format_span_id(span.parent.span_id) if span.parent else "",
        "name": span.name,
        "entry": span.resource.attributes.get("service.instance.id", ""),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


class ActiveSpan:
    """One span in progress; `traceparent` is passed to its child spans."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        carrier: dict[str, str] = {}
        TraceContextTextMapPropagator().inject(carrier, trace.set_span_in_context(span))
        self.traceparent = carrier.get(TRACEPARENT, "")

    def end(self, **fields: str | int) -> None:
        """Set attributes and end the span."""
        for name, value in fields.items():
            self._span.set_attribute(name, value)
        self._span.end()


class Tracing:
    """Starts the spans of one entry."""

    def __init__(self, cfg: TracingSettings, entry: str, stream: TextIO | None = None) -> None:
        self._provider = _make_provider(cfg, entry, stream)
        self._tracer = (self._provider or trace.NoOpTracerProvider()).get_tracer("fescuecrank")

    def start_span(self, name: str, traceparent: str, **fields: str | int) -> ActiveSpan:
        """Start a child of the span that `traceparent` names, or a new trace if it names none."""
        context = TraceContextTextMapPropagator().extract({TRACEPARENT: traceparent})
        return ActiveSpan(self._tracer.start_span(name, context=context, attributes=fields))

    def close(self) -> None:
        """Export the remaining spans."""
        if self._provider is not None:
            self._provider.shutdown()


def _make_provider(
    cfg: TracingSettings, entry: str, stream: TextIO | None
) -> TracerProvider | None:
    if cfg.exporter is TraceExporter.NONE:
        return None
    resource = Resource({"service.name": "fescuecrankd", "service.instance.id": entry})
    provider = TracerProvider(
        resource=resource,
        sampler=ParentBased(TraceIdRatioBased(cfg.sample_ratio)),
        shutdown_on_exit=False,
    )
    if cfg.exporter is TraceExporter.OTLP:
        # The exporter blocks, so it runs on the thread of the batch processor.
        provider.add_span_processor(BatchSpanProcessor(OTLPSpanExporter(cfg.endpoint)))
    else:
        target = stream or (open(cfg.file, "a") if cfg.file else sys.stderr)  # noqa: SIM115
        provider.add_span_processor(SimpleSpanProcessor(JsonLinesExporter(target)))
    return provider
