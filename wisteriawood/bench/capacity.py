"""Works out docs/CAPACITY.md from the slopes in docs/slopes."""

import dataclasses
import json
import pathlib
import sys

DOCS = pathlib.Path(__file__).parents[2] / "docs"

WORKERS = 20_000
TASKS = 270_000
TARGETS = 130_000
STARTS_PER_S = 1_000.0
JOBS_PER_DAY = 310_000
CHANGES_PER_DAY = 45_000
TEAMS = 140
ZONES = 16
ENTRY_HOSTS_PER_TEAM = 6.5
DAY_S = 86_400.0

MAX_CORES_PERCENT = 1.6
MAX_MEMORY_MB = 64.0
MAX_WIRE_KB = 5.0
MAX_WRITES = 300.0
MAX_READS = 2_000.0


class Slopes:
    """The measured figures, by name.

    Args:
        folder: Folder of the JSON files.
    """

    __slots__ = ("_values",)

    def __init__(self, *, folder: pathlib.Path):
        self._values: dict[str, float] = {}
        for path in sorted(folder.glob("*.json")):
            for slope in json.loads(path.read_text(encoding="utf-8")):
                self._values[slope["name"]] = float(slope["value"])

    def get(self, name: str) -> float:
        """Return a figure.

        Raises:
            KeyError: It was not measured.
        """
        return self._values[name]


@dataclasses.dataclass(slots=True, kw_only=True)
class Line:
    """One line of the page.

    Attributes:
        role: Role that bears the cost.
        what: What it is.
        value: Amount at the size to design for.
        unit: Its unit.
        limit: Greatest amount allowed; None if no limit is given.
        mechanism: What carries it.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None = None
    mechanism: str = ""

    def verdict(self) -> str:
        """Return whether the limit is kept."""
        if self.limit is None:
            return ""
        return "met" if self.value <= self.limit else "RED"

    def render(self) -> str:
        """Return the line as a row of a table."""
        limit = "" if self.limit is None else f"{self.limit:,.4g}"
        return (
            f"| {self.role} | {self.what} | {self.value:,.4g} {self.unit} "
            f"| {limit} | {self.verdict()} | {self.mechanism} |"
        )


def _entry_hosts() -> float:
    return TEAMS * ENTRY_HOSTS_PER_TEAM


def _entry_lines(slopes: Slopes) -> list[Line]:
    per_zone = _entry_hosts() / ZONES
    link_us = slopes.get("slots/35-targets/entry-host")
    changes_ms = slopes.get("configuration.change.cpu_ms")
    change_rate = CHANGES_PER_DAY / DAY_S
    cores = (
        slopes.get("control/entry/processor")
        + 100 * (per_zone - 1) * link_us / 1e6
        + 100 * change_rate * changes_ms / 1e3
    )
    wire = per_zone * slopes.get(
        "slots/35-targets/quiet-link"
    ) + change_rate * slopes.get("configuration.change.polled_bytes")
    return [
        Line(
            role="entry",
            what=f"idle processor time, links to {per_zone:.0f} schedulers",
            value=cores,
            unit="% core",
            limit=MAX_CORES_PERCENT,
            mechanism="reports carry changes only; a report each 0.5 s",
        ),
        Line(
            role="entry",
            what="resident memory",
            value=slopes.get("control/entry/memory"),
            unit="MB",
            limit=MAX_MEMORY_MB,
            mechanism="each daemon imports only what its role uses",
        ),
        Line(
            role="entry",
            what="slot links and configuration on the wire",
            value=wire / 1e3,
            unit="KB/s",
            limit=MAX_WIRE_KB,
            mechanism="changes only, but one link to each scheduler",
        ),
        Line(
            role="entry",
            what="own share of a request (admission to release)",
            value=slopes.get("requests/cost/25-targets"),
            unit="us",
            mechanism="in-process decisions, no hop between our processes",
        ),
    ]


def _scheduler_cores(slopes: Slopes) -> float:
    """Return the processor time of one scheduler, in % of a core."""
    schedulers = _entry_hosts()
    grantor_us = (
        slopes.get("slots/350-targets/grantor")
        - slopes.get("slots/35-targets/grantor")
    ) / 315.0
    links = TARGETS / schedulers * schedulers / ZONES
    return (
        slopes.get("control/scheduler/processor")
        + WORKERS / schedulers * slopes.get("control/worker/processor")
        + 100
        * (STARTS_PER_S / schedulers)
        * slopes.get("recovery/starts/cpu-per-start")
        + 100 * grantor_us * links / 1e6
    )


def _scheduler_memory_mb(slopes: Slopes) -> float:
    """Return the memory of one scheduler."""
    bytes_of_all = (
        WORKERS * slopes.get("tasks/memory/index-per-worker")
        + TASKS * slopes.get("recovery/starts/memory-per-task")
        + TARGETS * slopes.get("slots/350-targets/first-grants")
    )
    own_mb = bytes_of_all / _entry_hosts() / 1e6
    return slopes.get("control/scheduler/memory") + own_mb


def _scheduler_lines(slopes: Slopes) -> list[Line]:
    schedulers = _entry_hosts()
    return [
        Line(
            role="scheduler",
            what=f"processor time, {WORKERS / schedulers:.0f} workers, "
            f"{TASKS / schedulers:.0f} tasks, "
            f"{TARGETS / schedulers:.0f} targets, "
            f"{schedulers / ZONES:.0f} entry hosts",
            value=_scheduler_cores(slopes),
            unit="% core",
            limit=MAX_CORES_PERCENT,
            mechanism="racks spread over all entry hosts; one renewal a "
            "worker; placement by an index",
        ),
        Line(
            role="scheduler",
            what="resident memory",
            value=_scheduler_memory_mb(slopes),
            unit="MB",
            limit=MAX_MEMORY_MB,
            mechanism="one record a task, slotted; no copy of the table",
        ),
        Line(
            role="scheduler",
            what="starts at the peak, each",
            value=STARTS_PER_S / schedulers,
            unit="1/s",
            mechanism="group commit of up to 200 changes",
        ),
        Line(
            role="scheduler",
            what="p99 of a placement decision at 20,000 workers",
            value=slopes.get("tasks/decisions/20000-workers/p99"),
            unit="us",
            mechanism="buckets of free resources, sampled",
        ),
    ]


def _worker_lines(slopes: Slopes) -> list[Line]:
    tasks = TASKS / WORKERS
    bytes_each = (
        slopes.get("tasks/memory/index-per-worker")
        + tasks * slopes.get("recovery/starts/memory-per-task")
    ) / 1e6
    return [
        Line(
            role="worker",
            what="processor time that its control costs a scheduler",
            value=slopes.get("control/worker/processor"),
            unit="% core",
            limit=MAX_CORES_PERCENT,
            mechanism="one inventory and one renewal a second for all tasks",
        ),
        Line(
            role="worker",
            what="memory that it costs a scheduler",
            value=bytes_each,
            unit="MB",
            limit=MAX_MEMORY_MB,
            mechanism="one record a task",
        ),
        Line(
            role="worker",
            what="control on the wire, idle",
            value=slopes.get("control/worker/wire"),
            unit="KB/s",
            limit=MAX_WIRE_KB,
            mechanism="HTTP with JSON, as the platform gives it",
        ),
    ]


def _table_lines(slopes: Slopes) -> list[Line]:
    hosts = _entry_hosts()
    writes_per_start = slopes.get("recovery/starts/writes-per-start")
    change_rate = CHANGES_PER_DAY / DAY_S
    peak_starts = STARTS_PER_S * writes_per_start
    idle_writes = hosts * slopes.get("control/host/writes")
    reads = hosts * slopes.get("control/host/reads")
    return [
        Line(
            role="table",
            what="writes: starts at the peak",
            value=peak_starts,
            unit="1/s",
            limit=MAX_WRITES,
            mechanism="group commit",
        ),
        Line(
            role="table",
            what="writes: changes of the configuration",
            value=change_rate,
            unit="1/s",
            limit=MAX_WRITES,
            mechanism="one delta row a change",
        ),
        Line(
            role="table",
            what=f"writes: member rows of {hosts:.0f} entry hosts",
            value=idle_writes,
            unit="1/s",
            limit=MAX_WRITES,
            mechanism="one renewal row for all racks of a holder",
        ),
        Line(
            role="table",
            what="reads: polls of all daemons",
            value=reads,
            unit="1/s",
            limit=MAX_READS,
            mechanism="each daemon polls for itself",
        ),
    ]


def _other_lines(slopes: Slopes) -> list[Line]:
    change_rate = CHANGES_PER_DAY / DAY_S
    return [
        Line(
            role="object store",
            what="checkpoints, if each job is evicted once a day",
            value=JOBS_PER_DAY / DAY_S,
            unit="1/s",
            mechanism="one object a checkpoint",
        ),
        Line(
            role="peer links",
            what="configuration passed on to a host that is cut off",
            value=change_rate
            * slopes.get("configuration.change.passed_on_bytes")
            / 1e3,
            unit="KB/s",
            limit=MAX_WIRE_KB,
            mechanism="deltas only to peers that ask for them",
        ),
        Line(
            role="client",
            what="a change of the configuration, in bytes",
            value=slopes.get("configuration.change.polled_bytes"),
            unit="B",
            mechanism="JSON merge patch",
        ),
    ]


_HEAD = f"""# Capacity

Worked out by `make capacity` from the slopes in [slopes](slopes/README.md)
for the size to design for: {WORKERS:,} workers, {TASKS:,} running tasks,
{TARGETS:,} targets (each latency-critical task counted as one),
{STARTS_PER_S:,.0f} starts a second at the peak, {JOBS_PER_DAY:,} jobs and
{CHANGES_PER_DAY:,} changes of the configuration a day, {TEAMS} teams,
{ZONES} availability zones. Entry hosts: today's {ENTRY_HOSTS_PER_TEAM} a
team, {_entry_hosts():.0f} in all, each with an entry daemon and a
scheduler; racks and targets are spread evenly over them.

What a node counts: for a worker, what its control costs elsewhere, since
nothing of ours runs on it; for an entry host, each daemon by itself, idle.
The limits are {MAX_CORES_PERCENT}% of a core, {MAX_MEMORY_MB:.0f} MB and
{MAX_WIRE_KB:.0f} KB a second a node, {MAX_WRITES:.0f} writes and
{MAX_READS:,.0f} reads a second of the table. A line is met or RED.

| role | what | amount | limit | | mechanism that carries it |
| --- | --- | --- | --- | --- | --- |
"""


def render() -> str:
    """Return the page as Markdown text.

    Raises:
        KeyError: A slope was not measured.
    """
    slopes = Slopes(folder=DOCS / "slopes")
    lines = [
        *_entry_lines(slopes),
        *_scheduler_lines(slopes),
        *_worker_lines(slopes),
        *_table_lines(slopes),
        *_other_lines(slopes),
    ]
    rows = "\n".join(line.render() for line in lines)
    return f"{_HEAD}{rows}\n\n{_breaks(slopes, lines)}"


def _breaks(slopes: Slopes, lines: list[Line]) -> str:
    reads = slopes.get("control/host/reads")
    writes = slopes.get("control/host/writes")
    red = sum(line.verdict() == "RED" for line in lines)
    return f"""## Where today's design breaks first

{red} lines are RED. In the order in which growth meets them:

1. **Reads of the table.** An entry host with its two daemons reads
   {reads:.1f} times a second while idle, so {MAX_READS:,.0f} reads a second
   are used up at {MAX_READS / reads:,.0f} entry hosts. Today's 6 to 7 a team
   use {7 * reads:.0f}. What will carry it: one reader a zone that passes
   rows on over the peer links, as versions of the configuration already
   travel.
2. **Writes of member rows.** {writes:.2f} a second an entry host; the
   several hundred are used up at {MAX_WRITES / writes:,.0f} entry hosts. What
   will carry it: renewals gathered by one daemon a zone.
3. **Slot links.** Each entry host links with each scheduler of its zone,
   so a zone of n hosts has n x n links. What will carry it: links only to
   the schedulers whose targets serve the entry host's own teams.

Rebuilding for these is not part of this version.
"""


def main() -> int:
    """Print the page.

    Returns:
        The exit status.
    """
    print(render(), end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
