"""Computes docs/CAPACITY.md from the measured slopes in docs/slopes."""

import dataclasses
import json
import pathlib
import sys

DOCS = pathlib.Path(__file__).parents[2] / "docs"

# Design size.
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

# Limits of each node.
MAX_CORE_PERCENT = 1.6
MAX_MEMORY_MB = 64.0
MAX_WIRE_KB_PER_S = 5.0

# Limits of the table, for all daemons together.
MAX_WRITES_PER_S = 300.0
MAX_READS_PER_S = 2_000.0


class Slopes:
    """Measured costs per unit of load, by name.

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
        """Return the value of a slope.

        Raises:
            KeyError: The slope was not measured.
        """
        return self._values[name]


@dataclasses.dataclass(slots=True, kw_only=True)
class CostRow:
    """One row of the table on the page.

    Attributes:
        role: Role that incurs the cost.
        quantity: Description of the cost.
        value: Amount at the design size.
        unit: Unit of the amount.
        limit: Upper limit of the amount; None for no limit.
        mechanism: Part of the design that determines the cost.
    """

    role: str
    quantity: str
    value: float
    unit: str
    limit: float | None = None
    mechanism: str = ""

    def verdict(self) -> str:
        """Return "met" or "RED"; empty if there is no limit."""
        if self.limit is None:
            return ""
        return "met" if self.value <= self.limit else "RED"

    def render(self) -> str:
        """Return the row in Markdown."""
        limit = "" if self.limit is None else f"{self.limit:,.4g}"
        return (
            f"| {self.role} | {self.quantity} | {self.value:,.4g} {self.unit} "
            f"| {limit} | {self.verdict()} | {self.mechanism} |"
        )


def _entry_host_count() -> float:
    return TEAMS * ENTRY_HOSTS_PER_TEAM


def _entry_rows(slopes: Slopes) -> list[CostRow]:
    schedulers_per_zone = _entry_host_count() / ZONES
    link_us_per_s = slopes.get("slots/35-targets/entry-host")
    change_ms = slopes.get("configuration.change.cpu_ms")
    changes_per_s = CHANGES_PER_DAY / DAY_S
    # The idle daemon was measured with a link to one scheduler.
    core_percent = (
        slopes.get("control/entry/processor")
        + 100 * (schedulers_per_zone - 1) * link_us_per_s / 1e6
        + 100 * changes_per_s * change_ms / 1e3
    )
    wire_bytes_per_s = schedulers_per_zone * slopes.get(
        "slots/35-targets/quiet-link"
    ) + changes_per_s * slopes.get("configuration.change.polled_bytes")
    return [
        CostRow(
            role="entry",
            quantity="idle CPU time, links to "
            f"{schedulers_per_zone:.0f} schedulers",
            value=core_percent,
            unit="% core",
            limit=MAX_CORE_PERCENT,
            mechanism="reports contain only changes; one report every 0.5 s",
        ),
        CostRow(
            role="entry",
            quantity="resident memory",
            value=slopes.get("control/entry/memory"),
            unit="MB",
            limit=MAX_MEMORY_MB,
            mechanism="each daemon imports only what its role uses",
        ),
        CostRow(
            role="entry",
            quantity="network traffic of slot links and configuration",
            value=wire_bytes_per_s / 1e3,
            unit="KB/s",
            limit=MAX_WIRE_KB_PER_S,
            mechanism="only changes are sent, but on one link per scheduler",
        ),
        CostRow(
            role="entry",
            quantity="own CPU time per request (admission to release)",
            value=slopes.get("requests/cost/25-targets"),
            unit="us",
            mechanism="decisions in process, no hop between daemons",
        ),
    ]


def _scheduler_core_percent(slopes: Slopes) -> float:
    """Return the CPU time of one scheduler, in % of a core."""
    schedulers = _entry_host_count()
    # CPU time per target, from the difference of 350 and 35 targets.
    grantor_us_per_s = (
        slopes.get("slots/350-targets/grantor")
        - slopes.get("slots/35-targets/grantor")
    ) / 315.0
    # Targets of a scheduler times the entry hosts of its zone.
    target_links = TARGETS / schedulers * schedulers / ZONES
    return (
        slopes.get("control/scheduler/processor")
        + WORKERS / schedulers * slopes.get("control/worker/processor")
        + 100
        * (STARTS_PER_S / schedulers)
        * slopes.get("recovery/starts/cpu-per-start")
        + 100 * grantor_us_per_s * target_links / 1e6
    )


def _scheduler_memory_mb(slopes: Slopes) -> float:
    """Return the memory of one scheduler in MB."""
    # The memory of a target is taken to be the bytes of its first grants.
    total_bytes = (
        WORKERS * slopes.get("tasks/memory/index-per-worker")
        + TASKS * slopes.get("recovery/starts/memory-per-task")
        + TARGETS * slopes.get("slots/350-targets/first-grants")
    )
    own_mb = total_bytes / _entry_host_count() / 1e6
    return slopes.get("control/scheduler/memory") + own_mb


def _scheduler_rows(slopes: Slopes) -> list[CostRow]:
    schedulers = _entry_host_count()
    return [
        CostRow(
            role="scheduler",
            quantity=f"CPU time, {WORKERS / schedulers:.0f} workers, "
            f"{TASKS / schedulers:.0f} tasks, "
            f"{TARGETS / schedulers:.0f} targets, "
            f"{schedulers / ZONES:.0f} entry hosts",
            value=_scheduler_core_percent(slopes),
            unit="% core",
            limit=MAX_CORE_PERCENT,
            mechanism="racks spread over all entry hosts; one renewal per "
            "worker; indexed placement",
        ),
        CostRow(
            role="scheduler",
            quantity="resident memory",
            value=_scheduler_memory_mb(slopes),
            unit="MB",
            limit=MAX_MEMORY_MB,
            mechanism="one object with slots per task; no copy of the table",
        ),
        CostRow(
            role="scheduler",
            quantity="task starts at peak, per scheduler",
            value=STARTS_PER_S / schedulers,
            unit="1/s",
            mechanism="group commit of up to 200 changes",
        ),
        CostRow(
            role="scheduler",
            quantity="p99 latency of a placement decision, 20,000 workers",
            value=slopes.get("tasks/decisions/20000-workers/p99"),
            unit="us",
            mechanism="sampling from buckets of workers by free resources",
        ),
    ]


def _worker_rows(slopes: Slopes) -> list[CostRow]:
    tasks = TASKS / WORKERS
    memory_mb = (
        slopes.get("tasks/memory/index-per-worker")
        + tasks * slopes.get("recovery/starts/memory-per-task")
    ) / 1e6
    return [
        CostRow(
            role="worker",
            quantity="scheduler CPU time to control a worker",
            value=slopes.get("control/worker/processor"),
            unit="% core",
            limit=MAX_CORE_PERCENT,
            mechanism="one inventory and one renewal per second for all tasks",
        ),
        CostRow(
            role="worker",
            quantity="scheduler memory to control a worker",
            value=memory_mb,
            unit="MB",
            limit=MAX_MEMORY_MB,
            mechanism="one object per task",
        ),
        CostRow(
            role="worker",
            quantity="idle network traffic to control a worker",
            value=slopes.get("control/worker/wire"),
            unit="KB/s",
            limit=MAX_WIRE_KB_PER_S,
            mechanism="HTTP with JSON, as the platform defines it",
        ),
    ]


def _table_rows(slopes: Slopes) -> list[CostRow]:
    hosts = _entry_host_count()
    writes_per_start = slopes.get("recovery/starts/writes-per-start")
    changes_per_s = CHANGES_PER_DAY / DAY_S
    start_writes_per_s = STARTS_PER_S * writes_per_start
    idle_writes_per_s = hosts * slopes.get("control/host/writes")
    reads = hosts * slopes.get("control/host/reads")
    return [
        CostRow(
            role="table",
            quantity="writes: task starts at peak",
            value=start_writes_per_s,
            unit="1/s",
            limit=MAX_WRITES_PER_S,
            mechanism="group commit",
        ),
        CostRow(
            role="table",
            quantity="writes: configuration changes",
            value=changes_per_s,
            unit="1/s",
            limit=MAX_WRITES_PER_S,
            mechanism="one row with a delta per change",
        ),
        CostRow(
            role="table",
            quantity=f"writes: member rows of {hosts:.0f} entry hosts",
            value=idle_writes_per_s,
            unit="1/s",
            limit=MAX_WRITES_PER_S,
            mechanism="one renewed row for all racks of a holder",
        ),
        CostRow(
            role="table",
            quantity="reads: polls of all daemons",
            value=reads,
            unit="1/s",
            limit=MAX_READS_PER_S,
            mechanism="each daemon polls independently",
        ),
    ]


def _other_rows(slopes: Slopes) -> list[CostRow]:
    changes_per_s = CHANGES_PER_DAY / DAY_S
    return [
        CostRow(
            role="object store",
            quantity="checkpoints, if each job is evicted once a day",
            value=JOBS_PER_DAY / DAY_S,
            unit="1/s",
            mechanism="one object per checkpoint",
        ),
        CostRow(
            role="peer links",
            quantity="configuration relayed to hosts cut off from the "
            "platform",
            value=changes_per_s
            * slopes.get("configuration.change.passed_on_bytes")
            / 1e3,
            unit="KB/s",
            limit=MAX_WIRE_KB_PER_S,
            mechanism="deltas, only to peers that request them",
        ),
        CostRow(
            role="client",
            quantity="size of a configuration change",
            value=slopes.get("configuration.change.polled_bytes"),
            unit="B",
            mechanism="JSON merge patch",
        ),
    ]


_HEADER = f"""# Capacity

Computed by `make capacity` from the measured slopes in
[slopes](slopes/README.md) for this design size: {WORKERS:,} workers,
{TASKS:,} running tasks, {TARGETS:,} targets (each latency-critical task
counts as one), {STARTS_PER_S:,.0f} task starts per second at peak,
{JOBS_PER_DAY:,} jobs and {CHANGES_PER_DAY:,} configuration changes per day,
{TEAMS} teams, {ZONES} availability zones. The number of entry hosts per
team stays at today's {ENTRY_HOSTS_PER_TEAM}, which gives
{_entry_host_count():.0f} entry hosts, each with an entry daemon and a
scheduler. Racks and targets are distributed evenly over them.

The limits per node are {MAX_CORE_PERCENT}% of a core,
{MAX_MEMORY_MB:.0f} MB and {MAX_WIRE_KB_PER_S:.0f} KB per second. On an
entry host each daemon is measured separately, while idle. For a worker,
where no process of this project runs, the cost of its control on other
nodes is counted. The limits of the table are {MAX_WRITES_PER_S:.0f} writes
and {MAX_READS_PER_S:,.0f} reads per second. Each row with a limit is either
met or RED.

| role | quantity | amount | limit | | mechanism |
| --- | --- | --- | --- | --- | --- |
"""


def render() -> str:
    """Return the page as Markdown text.

    Raises:
        KeyError: A slope was not measured.
    """
    slopes = Slopes(folder=DOCS / "slopes")
    cost_rows = [
        *_entry_rows(slopes),
        *_scheduler_rows(slopes),
        *_worker_rows(slopes),
        *_table_rows(slopes),
        *_other_rows(slopes),
    ]
    rows = "\n".join(row.render() for row in cost_rows)
    return f"{_HEADER}{rows}\n\n{_render_bottlenecks(slopes, cost_rows)}"


def _render_bottlenecks(slopes: Slopes, cost_rows: list[CostRow]) -> str:
    reads = slopes.get("control/host/reads")
    writes = slopes.get("control/host/writes")
    red_count = sum(row.verdict() == "RED" for row in cost_rows)
    return f"""## Bottlenecks of the current design

{red_count} rows are RED. As the system grows, it reaches these limits in
this order:

1. **Reads of the table.** An entry host with its two daemons makes
   {reads:.1f} reads per second while idle. The limit of
   {MAX_READS_PER_S:,.0f} reads per second is reached with
   {MAX_READS_PER_S / reads:,.0f} entry hosts. Today's 6 to 7 entry hosts of
   a team make up to {7 * reads:.0f} reads per second. Proposed change: one
   reader per zone that forwards rows over the peer links, as versions of
   the configuration are forwarded already.
2. **Writes of member rows.** An entry host makes {writes:.2f} writes per
   second. The limit of {MAX_WRITES_PER_S:.0f} writes per second is reached
   with {MAX_WRITES_PER_S / writes:,.0f} entry hosts. Proposed change: one
   daemon per zone that combines the renewals.
3. **Slot links.** Each entry host has a link to each scheduler of its zone,
   so a zone with n entry hosts has n x n links. Proposed change: links only
   to the schedulers whose targets serve the teams of the entry host.

These changes are not part of this version.
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
