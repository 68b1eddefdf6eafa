"""Trace spans of the hops of requests, written as JSON lines."""

import contextlib
import typing

from opentelemetry.sdk import resources as otel_resources
from opentelemetry.sdk import trace as otel_sdk
from opentelemetry.sdk.trace import export as otel_export
from opentelemetry.trace import propagation
from opentelemetry.trace.propagation import tracecontext

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
MAX_QUEUED_SPANS = 2048
EXPORT_PERIOD_MS = 500


class JsonLinesExporter(otel_export.SpanExporter):
    """Writes each ended span as one line of JSON.

    Args:
        path: Name of the file to append to.
    """

    __slots__ = ("_file",)

    def __init__(self, *, path: str):
        self._file = open(path, "a", encoding="utf-8")

    def export(self, spans):
        """Write spans; called by OpenTelemetry."""
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        self._file.flush()
        return otel_export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class Tracer:
    """Creates the spans of one daemon.

    Args:
        service: Name of the daemon in the traces.
        path: Name of the file for the spans; empty for none.
    """

    __slots__ = ("_provider", "_tracer")

    def __init__(self, *, service: str, path: str = ""):
        self._provider = otel_sdk.TracerProvider(
            resource=otel_resources.Resource({"service.name": service}),
            shutdown_on_exit=False,
        )
        if path:
            self._provider.add_span_processor(
                otel_export.BatchSpanProcessor(
                    JsonLinesExporter(path=path),
                    max_queue_size=MAX_QUEUED_SPANS,
                    schedule_delay_millis=EXPORT_PERIOD_MS,
                )
            )
        self._tracer = self._provider.get_tracer("wisteriawood")

    @contextlib.contextmanager
    def span(
        self, name: str, *, traceparent: str = "", **attributes: typing.Any
    ) -> typing.Iterator[str]:
        """Open a span and yield its traceparent.

        Args:
            name: Name of the hop.
            traceparent: W3C trace context of the parent span.
            **attributes: Attributes of the span.
        """
        context = _PROPAGATOR.extract({"traceparent": traceparent})
        span = self._tracer.start_span(
            name, context=context, attributes=attributes
        )
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, propagation.set_span_in_context(span))
        try:
            yield carrier.get("traceparent", "")
        finally:
            span.end()

    def close(self) -> None:
        """Write the pending spans and stop."""
        self._provider.shutdown()
