"""Logs as JSON lines, statsd metrics and OpenTelemetry spans.

Sending them delays no request: statsd packets are sent without waiting, a thread of the
OpenTelemetry library exports spans, and data that cannot be sent is dropped.  The log
and `trace_file` are written synchronously.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TextIO

import logbook
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
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from statsd import StatsClient

from skylarklift.errors import RequestError
from skylarklift.generated import TelemetrySettings
from skylarklift.ids import RouterId
from skylarklift.logger import log

SECRET_FIELDS = ("token", "key", "secret", "authorization")
REDACTED = "(hidden)"
EXPORT_TIMEOUT_S = 2


class JsonLinesHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Write each log record as one JSON object on a line."""

    def __init__(self, stream: TextIO, level: str, router: RouterId):
        logbook.Handler.__init__(self, level=logbook.lookup_level(level.upper()))
        self._stream = stream
        self._router = router

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record as a JSON line and flush it."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "event": record.message,
            "router": self._router,
            **redact_secrets(record.kwargs),
        }
        if record.exc_info:
            line["error"] = record.formatted_exception
        self._stream.write(json.dumps(line, default=str) + "\n")
        self._stream.flush()


def redact_secrets(fields: dict[str, Any]) -> dict[str, Any]:
    """Return log fields with the values of secret fields replaced."""
    return {
        name: REDACTED if any(secret == name.lower() for secret in SECRET_FIELDS) else value
        for name, value in fields.items()
    }


class FileSpanExporter(SpanExporter):
    """Append each span to a file as one JSON object on a line."""

    def __init__(self, path: str):
        self._path = path

    def export(self, spans: list[ReadableSpan]) -> SpanExportResult:
        """Append finished spans to the file."""
        with open(self._path, "a") as target:
            for span in spans:
                target.write(json.dumps(_span_to_json(span)) + "\n")
        return SpanExportResult.SUCCESS


def _span_to_json(span: ReadableSpan) -> dict[str, Any]:
    """Return a span as a JSON object."""
    context = span.get_span_context()
    return {
        "trace": f"{context.trace_id:032x}",
        "span": f"{context.span_id:016x}",
        "parent": f"{span.parent.span_id:016x}" if span.parent else "",
        "name": span.name,
        "router": span.resource.attributes.get("service.instance.id", ""),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }


class Telemetry:
    """The logs, metrics and spans of one router."""

    def __init__(self, cfg: TelemetrySettings, router: RouterId):
        self._router = router
        self.counts: Counter[str] = Counter()
        self._statsd = _make_statsd_client(cfg)
        self._tracer, self._provider = _make_tracer(cfg, router)
        self._propagator = TraceContextTextMapPropagator()
        self._handler = _make_log_handler(cfg, router)
        self._handler.push_application()

    # Metrics.

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Report a duration in milliseconds."""
        if self._statsd is not None:
            self._statsd.timing(name, duration_ms)

    # Spans.

    @contextmanager
    def span(self, name: str, parent: str = "", **attributes: str) -> Iterator[str]:
        """Run a block in a span; yield the `traceparent` for the next hop."""
        if self._tracer is None:
            yield parent
            return
        context = self._propagator.extract({"traceparent": parent}) if parent else None
        span = self._tracer.start_span(name, context=context, attributes=attributes)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, context=trace.set_span_in_context(span))
        try:
            yield carrier.get("traceparent", parent)
        finally:
            span.end()

    # Errors and shutdown.

    def error_event(self, exc: RequestError) -> bytes:
        """Return the error event that ends a stream which cannot be completed."""
        return b"data: " + json.dumps(error_body(exc)).encode() + b"\n\n"

    def report_breach(self, name: str, state: dict[str, Any]) -> None:
        """Count a broken invariant and log it with its state."""
        self.count(f"invariant.{name}")
        log.error("invariant_breach", invariant=name, state=state)

    def close(self) -> None:
        """Export the remaining spans and remove the log handler."""
        if self._provider is not None:
            self._provider.shutdown()
        self._handler.pop_application()


def error_body(exc: RequestError) -> dict[str, Any]:
    """Return the JSON body that all error responses share."""
    return {
        "error": {
            "message": str(exc),
            "type": type(exc).__name__,
            "code": exc.code,
            "run": exc.run.value,
            "retry_after_ms": exc.retry_after_ms,
        }
    }


def _make_log_handler(cfg: TelemetrySettings, router: RouterId) -> JsonLinesHandler:
    """Return the log handler that the settings ask for."""
    stream = open(cfg.log_file, "a") if cfg.log_file else sys.stderr
    return JsonLinesHandler(stream, cfg.log_level, router)


def _make_statsd_client(cfg: TelemetrySettings) -> StatsClient | None:
    """Return a statsd client, or `None` if no host is set."""
    if not cfg.statsd_host:
        return None
    return StatsClient(cfg.statsd_host, cfg.statsd_port, prefix=cfg.statsd_prefix)


def _make_tracer(
    cfg: TelemetrySettings, router: RouterId
) -> tuple[trace.Tracer | None, TracerProvider | None]:
    """Return a tracer and its provider, or `None` for both if no exporter is set."""
    if not cfg.otlp_url and not cfg.trace_file:
        return None, None
    resource = Resource.create({"service.name": "skylarkliftd", "service.instance.id": str(router)})
    provider = TracerProvider(resource=resource)
    if cfg.otlp_url:
        exporter = OTLPSpanExporter(endpoint=cfg.otlp_url, timeout=EXPORT_TIMEOUT_S)
        provider.add_span_processor(BatchSpanProcessor(exporter))
    if cfg.trace_file:
        provider.add_span_processor(SimpleSpanProcessor(FileSpanExporter(cfg.trace_file)))
    return provider.get_tracer("skylarklift"), provider
