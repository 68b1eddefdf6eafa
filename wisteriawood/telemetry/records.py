"""Reads the spans and events that daemons have written."""

import dataclasses
import datetime
import json
import pathlib
import typing

from wisteriawood import errors


@dataclasses.dataclass(slots=True, kw_only=True)
class SpanRecord:
    """One span of a trace: one hop of a request.

    Attributes:
        name: Name of the hop.
        service: Name of the daemon that wrote the span.
        trace_id: Id of the trace.
        span_id: Id of the span.
        parent_id: Id of the parent span; empty for the first hop.
        started_unix_s: Start as a Unix time in seconds.
        duration_s: Duration in seconds.
        attributes: Attributes of the span.
    """

    name: str
    service: str
    trace_id: str
    span_id: str
    parent_id: str
    started_unix_s: float
    duration_s: float
    attributes: dict[str, typing.Any]


@dataclasses.dataclass(slots=True, kw_only=True)
class EventRecord:
    """One numbered event.

    Attributes:
        number: Number of the event in the catalogue.
        at_unix_s: Unix time of the event in seconds.
        fields: Fields of the log line.
    """

    number: int
    at_unix_s: float
    fields: dict[str, typing.Any]


def _to_unix_s(text: str) -> float:
    return datetime.datetime.fromisoformat(text).timestamp()


def _to_span(value: dict[str, typing.Any]) -> SpanRecord:
    started_s = _to_unix_s(value["start_time"])
    return SpanRecord(
        name=value["name"],
        service=value["resource"]["attributes"].get("service.name", ""),
        trace_id=value["context"]["trace_id"],
        span_id=value["context"]["span_id"],
        parent_id=value["parent_id"] or "",
        started_unix_s=started_s,
        duration_s=_to_unix_s(value["end_time"]) - started_s,
        attributes=value.get("attributes", {}),
    )


def _to_event(value: dict[str, typing.Any]) -> EventRecord:
    number = value["message_type"].partition(":")[0].removeprefix("W")
    return EventRecord(
        number=int(number), at_unix_s=value["timestamp"], fields=value
    )


def _files(paths: typing.Sequence[str]) -> list[pathlib.Path]:
    found: list[pathlib.Path] = []
    for path in map(pathlib.Path, paths):
        if path.is_dir():
            found.extend(sorted(p for p in path.iterdir() if p.is_file()))
        elif path.is_file():
            found.append(path)
        else:
            raise errors.UsageError(
                f"there is no file or folder {str(path)!r}; give the "
                "trace_file and log_file of your daemons, or their folder"
            )
    return found


def read(
    paths: typing.Sequence[str],
) -> tuple[list[SpanRecord], list[EventRecord]]:
    """Return the spans and the events of files, each sorted by time.

    Other lines are skipped, so that a folder with further files can be
    given.

    Args:
        paths: Names of files, or of folders whose files are read.

    Raises:
        UsageError: There is no such file.
    """
    spans: list[SpanRecord] = []
    found_events: list[EventRecord] = []
    for path in _files(paths):
        with open(path, encoding="utf-8", errors="replace") as stream:
            for line in stream:
                _read_line(line, spans, found_events)
    spans.sort(key=lambda span: span.started_unix_s)
    found_events.sort(key=lambda event: event.at_unix_s)
    return spans, found_events


def _read_line(
    line: str, spans: list[SpanRecord], found_events: list[EventRecord]
) -> None:
    try:
        value = json.loads(line)
        if "context" in value:
            spans.append(_to_span(value))
        elif str(value.get("message_type", "")).startswith("W"):
            found_events.append(_to_event(value))
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
    ):
        # The line is truncated, or written by another program.
        return
