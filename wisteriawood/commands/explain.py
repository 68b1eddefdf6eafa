"""Command that explains the state of a task or the path of a request."""

import dataclasses
import functools

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.commands import times
from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import jobs
from wisteriawood.links import operators
from wisteriawood.links import platforms
from wisteriawood.telemetry import catalogue
from wisteriawood.telemetry import records


@dataclasses.dataclass(slots=True, kw_only=True)
class Explanation:
    """Information found about a task or a request.

    Attributes:
        name: Id of the task or the request.
        task: Stored state of the task; None if no such task is stored.
        events: Events in the daemons' logs that name the id.
        spans: Spans of the traces that name the id.
    """

    name: str
    task: tasks.Task | None
    events: list[records.EventRecord]
    spans: list[records.SpanRecord]


@base.COMMANDS.register("explain")
class ExplainCommand(base.BaseCommand):
    """Explains why a task waits and where it ran, or a request's hops."""

    name = "explain"
    description = "Explains a task (why it waits, where it ran) or a request."
    arguments = [helpers.argument("id", "Id of a task or of a request.")]
    options = [
        base.PLATFORM_OPTION,
        base.OUTPUT_OPTION,
        base.RECORDS_OPTION,
    ]

    def execute_command(self) -> int | None:
        """Print what the platform, the logs and the traces contain."""
        as_json = self.wants_json()
        name = self.argument("id")
        if not self.option("platform") and not self.option("records"):
            raise errors.UsageError(
                "give --platform URL, or --records with files of traces and "
                "events, or both"
            )
        found = Explanation(name=name, task=None, events=[], spans=[])
        if self.option("platform"):
            url = self.option("platform")
            found.task = anyio.run(functools.partial(_read_task, url, name))
        self._add_records(found)
        if not (found.task or found.events or found.spans):
            raise errors.NotFoundError(
                f"found no task, event or trace with id {name!r}; give "
                "--records with the files of the daemon that answered"
            )
        if as_json:
            self.print_json(found)
        else:
            self._print(found)
        return 0

    def _add_records(self, found: Explanation) -> None:
        spans, events = records.read(self.option("records") or [])
        traces = {
            span.trace_id
            for span in spans
            if found.name in map(str, span.attributes.values())
        }
        found.spans = [span for span in spans if span.trace_id in traces]
        found.events = [
            event
            for event in events
            if found.name in map(str, event.fields.values())
        ]

    def _print(self, found: Explanation) -> None:
        if found.task is not None:
            self._print_task(found.task)
        for event in found.events:
            self._print_event(event)
        if not found.spans:
            return
        started_s = found.spans[0].started_unix_s
        self.print_table(
            ["hop", "daemon", "after ms", "took ms", "target"],
            [
                [
                    span.name,
                    span.service,
                    f"{(span.started_unix_s - started_s) * 1000:.1f}",
                    f"{span.duration_s * 1000:.1f}",
                    str(span.attributes.get("target", "")),
                ]
                for span in found.spans
            ],
        )

    def _print_task(self, task: tasks.Task) -> None:
        name = task.spec.id
        self.line(f"{name}: {task.state}, submitted in zone {task.zone}")
        self.line(f"  submitted {times.to_text(task.submitted_unix_s)} UTC")
        if task.state in tasks.WAITING_STATES:
            self.line(f"  waits: {task.reason or 'not looked at yet'}")
        elif task.reason:
            self.line(f"  reason: {task.reason}")
        if task.attempt:
            self.line(
                f"  attempt {task.attempt} on worker {task.worker or '-'}, "
                f"started {times.to_text(task.started_unix_s)} UTC"
            )
        if task.checkpoint:
            self.line(f"  resumes from checkpoint {task.checkpoint}")
        for worker in task.failures:
            self.line(f"  an attempt failed on worker {worker}")
        if task.ended_unix_s:
            self.line(f"  ended {times.to_text(task.ended_unix_s)} UTC")

    def _print_event(self, event: records.EventRecord) -> None:
        event_type = catalogue.find(event.number)
        meaning = (
            event_type.meaning if event_type else "Unknown to this version."
        )
        self.line(f"{times.to_text(event.at_unix_s)} {meaning}")
        for name in ("worker", "target", "reason"):
            if event.fields.get(name):
                self.line(f"  {name}: {event.fields[name]}")


async def _read_task(url: str, task_id: str) -> tasks.Task | None:
    platform = platforms.HttpPlatform(url=url)
    try:
        task = await jobs.find(platform, task_id)
        if task.state in tasks.WAITING_STATES:
            task.reason = await _ask_schedulers(platform, task) or task.reason
        return task
    except errors.NotFoundError:
        return None
    finally:
        await platform.aclose()


async def _ask_schedulers(
    platform: platforms.Platform, task: tasks.Task
) -> str:
    """Return the reason for waiting from the schedulers of the task's zone.

    The reason is empty if no scheduler gives one.
    """
    prefix = keys.members(holdings.Role.SCHEDULER)
    for row in await platforms.scan_all(platform, prefix):
        member = rows.from_value(row.value, holdings.MemberRow)
        if member.zone != task.zone or not member.operator_address:
            continue
        try:
            reason = await operators.ask_waiting_reason(
                address=member.operator_address, task=task.spec.id
            )
        except errors.LinkError:
            continue
        if reason:
            return reason
    return ""
