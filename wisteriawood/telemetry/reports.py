"""Report of tail latency, batch throughput and evictions over time."""

import base64
import dataclasses
import datetime
import html
import io
import typing

from wisteriawood import errors
from wisteriawood.telemetry import events
from wisteriawood.telemetry import records

ENTRY_SPAN = "entry"
TAIL_QUANTILE = 0.99


@dataclasses.dataclass(slots=True, kw_only=True)
class Point:
    """Latency, throughput and evictions in one time step.

    Attributes:
        at_unix_s: Start of the step as a Unix time in seconds.
        requests: Requests that entry hosts answered.
        p50_ms: Median latency in milliseconds; 0 without requests.
        p99_ms: 99th percentile of latency in milliseconds; 0 without
            requests.
        ended: Task attempts that ended.
        evicted: Tasks that were evicted.
    """

    at_unix_s: float
    requests: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    ended: int = 0
    evicted: int = 0


def _quantile_ms(durations_s: list[float], quantile: float) -> float:
    ordered = sorted(durations_s)
    return 1000.0 * ordered[int(quantile * (len(ordered) - 1))]


def summarize(
    spans: list[records.SpanRecord],
    logged_events: list[records.EventRecord],
    *,
    step_s: float,
) -> list[Point]:
    """Return one point for each time step with a request or task event.

    Args:
        spans: Spans of the entry hosts.
        logged_events: Events of the schedulers.
        step_s: Length of a step in seconds.
    """
    points: dict[int, Point] = {}
    durations_s: dict[int, list[float]] = {}

    def _point(at_unix_s: float) -> Point:
        step = int(at_unix_s // step_s)
        return points.setdefault(step, Point(at_unix_s=step * step_s))

    for span in spans:
        if span.name == ENTRY_SPAN:
            _point(span.started_unix_s).requests += 1
            step = int(span.started_unix_s // step_s)
            durations_s.setdefault(step, []).append(span.duration_s)
    for event in logged_events:
        if event.number == events.TASK_ENDED.number:
            _point(event.at_unix_s).ended += 1
        elif event.number == events.TASK_EVICTED.number:
            _point(event.at_unix_s).evicted += 1
    for step, step_durations_s in durations_s.items():
        points[step].p50_ms = _quantile_ms(step_durations_s, 0.5)
        points[step].p99_ms = _quantile_ms(step_durations_s, TAIL_QUANTILE)
    return [points[step] for step in sorted(points)]


def _load_pyplot() -> typing.Any:
    try:
        import matplotlib

        matplotlib.use("agg")
        from matplotlib import pyplot
    except ImportError as exc:
        raise errors.UsageError(
            "the report needs matplotlib: pip install 'wisteriawood[report]', "
            "or use --output json"
        ) from exc
    return pyplot


def _draw_png(points: list[Point]) -> bytes:
    pyplot = _load_pyplot()
    figure, axes = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True)
    times = [
        datetime.datetime.fromtimestamp(p.at_unix_s, datetime.timezone.utc)
        for p in points
    ]
    axes[0].plot(times, [p.p99_ms for p in points], label="p99")
    axes[0].plot(times, [p.p50_ms for p in points], label="p50")
    axes[0].set_ylabel("latency, ms")
    axes[0].legend()
    axes[1].step(times, [p.ended for p in points], where="post")
    axes[1].set_ylabel("task attempts ended")
    axes[2].step(times, [p.evicted for p in points], where="post")
    axes[2].set_ylabel("evictions")
    figure.autofmt_xdate()
    image = io.BytesIO()
    figure.savefig(image, format="png")
    pyplot.close(figure)
    return image.getvalue()


def write_page(points: list[Point], *, file: str) -> None:
    """Write the points as a self-contained HTML page.

    Args:
        points: The points.
        file: Name of the file.

    Raises:
        UsageError: There are no points, matplotlib is missing, or the
            file can't be written.
    """
    if not points:
        raise errors.UsageError(
            "the records contain no request and no task; give the trace_file "
            "and log_file of your daemons, or their folder"
        )
    image = base64.b64encode(_draw_png(points)).decode("ascii")
    totals = (
        f"{sum(p.requests for p in points)} requests, "
        f"{sum(p.ended for p in points)} task attempts ended, "
        f"{sum(p.evicted for p in points)} evictions"
    )
    page = (
        "<!doctype html><html lang='en'><meta charset='utf-8'>"
        "<title>wisteriawood report</title><h1>wisteriawood report</h1>"
        f"<p>{html.escape(totals)}</p>"
        "<img alt='latency, throughput and evictions over time' "
        f"src='data:image/png;base64,{image}'></html>\n"
    )
    try:
        with open(file, "w", encoding="utf-8") as stream:
            stream.write(page)
    except OSError as exc:
        raise errors.UsageError(f"can't write {file}: {exc.strerror}") from exc
