"""Overview of the system for operators, read from the platform."""

import collections
import dataclasses

from wisteriawood.contracts import drains
from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import tasks
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms


@dataclasses.dataclass(slots=True, kw_only=True)
class ZoneOverview:
    """Counts for one availability zone.

    Attributes:
        zone: Name of the zone.
        entry_hosts: Entry daemons whose state is not GONE.
        schedulers: Schedulers whose state is not GONE.
        workers: Workers in the host list.
        targets: Targets in the host list, and instances of services
            that run on workers.
        racks_held: Racks that a scheduler holds.
        waiting: Tasks that wait for a worker.
        placed: Tasks that are assigned to a worker.
    """

    zone: str
    entry_hosts: int = 0
    schedulers: int = 0
    workers: int = 0
    targets: int = 0
    racks_held: int = 0
    waiting: int = 0
    placed: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Overview:
    """State of all zones, daemons, racks and hosts.

    Attributes:
        zones: The availability zones.
        members: The daemons.
        racks: Holders of the racks.
        workers: The workers in the host list.
        targets: The targets in the host list.
        drained: Requests to drain hosts.
        reasons: Number of waiting tasks by the reason why they wait.
    """

    zones: list[ZoneOverview]
    members: list[holdings.MemberRow]
    racks: list[holdings.RackHolding]
    workers: list[platforms.Host]
    targets: list[platforms.Host]
    drained: list[drains.DrainOrder]
    reasons: dict[str, int]


async def _scan(platform: platforms.Platform, prefix: str, cls: type) -> list:
    found = await platforms.scan_all(platform, prefix)
    return [rows.from_value(row.value, cls) for row in found]


async def list_tasks(platform: platforms.Platform) -> list[tasks.Task]:
    """Return all tasks that have not ended.

    Args:
        platform: Link to the platform.

    Raises:
        PlatformUnavailableError: The table could not be read.
    """
    waiting = await _scan(platform, keys.PENDING, tasks.Task)
    placed = await _scan(platform, keys.PLACED, tasks.Task)
    return waiting + placed


async def read(platform: platforms.Platform) -> Overview:
    """Return an overview from the platform's table and host list.

    Args:
        platform: Link to the platform.

    Raises:
        PlatformUnavailableError: The platform could not be read.
    """
    members = await _scan(platform, keys.members(), holdings.MemberRow)
    racks = await _scan(platform, keys.RACK, holdings.RackHolding)
    drain_orders = await _scan(platform, keys.DRAIN, drains.DrainOrder)
    hosts = await platform.hosts()
    found = await list_tasks(platform)
    waiting = [task for task in found if task.state in tasks.WAITING_STATES]
    reasons = collections.Counter(
        task.reason or "not looked at yet" for task in waiting
    )
    workers = [h for h in hosts if h.kind == platforms.HostKind.WORKER]
    targets = [h for h in hosts if h.kind == platforms.HostKind.TARGET]
    overview = Overview(
        zones=[],
        members=members,
        racks=racks,
        workers=workers,
        targets=targets,
        drained=drain_orders,
        reasons=dict(reasons.most_common()),
    )
    overview.zones = _count(overview, found)
    return overview


def _count(overview: Overview, found: list[tasks.Task]) -> list[ZoneOverview]:
    zones: dict[str, ZoneOverview] = {}

    def _zone(name: str) -> ZoneOverview:
        return zones.setdefault(name, ZoneOverview(zone=name))

    for member in overview.members:
        if member.state == holdings.HostState.GONE:
            continue
        if member.role == holdings.Role.ENTRY:
            _zone(member.zone).entry_hosts += 1
        else:
            _zone(member.zone).schedulers += 1
    for rack in overview.racks:
        _zone(rack.zone).racks_held += bool(rack.holder)
    for worker in overview.workers:
        _zone(worker.zone).workers += 1
    for target in overview.targets:
        _zone(target.zone).targets += 1
    for task in found:
        if task.state in tasks.WAITING_STATES:
            _zone(task.zone).waiting += 1
        else:
            _zone(task.zone).placed += 1
        is_running = task.state == tasks.TaskState.RUNNING
        if is_running and task.spec.kind == tasks.TaskKind.SERVICE:
            _zone(task.zone).targets += 1
    return [zones[name] for name in sorted(zones)]
