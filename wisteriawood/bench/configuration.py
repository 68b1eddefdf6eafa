"""Configuration: from accepted to in force, bytes and processor time."""

import dataclasses
import itertools
import math
import statistics
import time

import anyio

from wisteriawood.bench import base
from wisteriawood.config import configuration
from wisteriawood.config import configuration_patches as patches
from wisteriawood.contracts import configurations
from wisteriawood.links.codecs import cbor
from wisteriawood.links.codecs import rows
from wisteriawood.links import configurations as config_links
from wisteriawood.links import messages
from wisteriawood.links import platforms
from wisteriawood.tests import builders

IN_FORCE_BOUND_S = 3.0
ZONES = ("linz-a", "wien-b", "graz-c")
LINK_DELAY_S = 0.0045
SETTLE_S = 6.0
CHANGES = 5
CHANGE_PERIOD_S = 3.37
START_SPREAD_S = 1.0
FRESH_CUT_S = 0.1
TEAMS = 140
SERVICES = 4
CPU_CHANGES = 500
CPU_BOUND_MS = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Case:
    """One world to measure.

    Attributes:
        hosts: Number of entry hosts.
        share_cut: One of so many is cut off from the platform; 0 for none.
        is_fresh: Whether the cuts come just before each change.
    """

    hosts: int
    share_cut: int = 0
    is_fresh: bool = False

    def name(self) -> str:
        """Return the case in words."""
        if not self.share_cut:
            return f"{self.hosts} hosts, none cut off"
        since = " just before" if self.is_fresh else ""
        return f"{self.hosts} hosts, 1 of {self.share_cut} cut off{since}"


CASES = (
    Case(hosts=6),
    Case(hosts=6, share_cut=3),
    Case(hosts=6, share_cut=3, is_fresh=True),
    Case(hosts=200, share_cut=3),
)


class InForce:
    """Times at which hosts put versions in force.

    Args:
        world: World whose entry hosts are watched.
    """

    __slots__ = ("_seen_s", "_world")

    def __init__(self, *, world):
        self._world = world
        self._seen_s: dict[tuple[str, int], float] = {}

    async def watch(self, name: str) -> None:
        """Note when a host changes its version, for ever.

        Args:
            name: Name of the entry host.
        """
        follower = self._world.entries[name].configuration
        while True:
            changed = follower.changed
            self._seen_s.setdefault(
                (name, follower.version), anyio.current_time()
            )
            await changed.wait()

    def delays_s(self, version: int, *, accepted_s: float) -> list[float]:
        """Return each host's time from accepted to in force.

        Args:
            version: Version number.
            accepted_s: Time at which it was accepted.
        """
        return [
            max(0.0, self._seen_s.get((name, version), math.inf) - accepted_s)
            for name in self._world.entries
        ]


def _make_names(hosts: int) -> list[str]:
    return [f"{ZONES[n % 3]}-{n // 3}" for n in range(hosts)]


async def _add_hosts(world, names: list[str]) -> None:
    for pair in itertools.permutations(names, 2):
        ends = tuple(f"entry/{name}" for name in pair)
        world.delays_s[ends] = LINK_DELAY_S
    for name in names:
        builders.add_entries(world, [name])
        await anyio.sleep(START_SPREAD_S / len(names))
    await anyio.sleep(SETTLE_S)


async def _change_often(world, case: Case) -> dict[int, float]:
    """Apply changes and return when each version was accepted."""
    cut = [] if not case.share_cut else list(world.entries)[:: case.share_cut]
    accepted_s = {}
    for number in range(CHANGES):
        for name in cut:
            world.cut(f"entry/{name}", "platform")
        await anyio.sleep(FRESH_CUT_S if case.is_fresh else CHANGE_PERIOD_S)
        document = builders.make_configuration(deadline_ms=100 + number)
        version = await config_links.apply(
            world.platform, document, base=number
        )
        accepted_s[version] = anyio.current_time()
        await anyio.sleep(CHANGE_PERIOD_S)
        for name in cut:
            if case.is_fresh:
                world.mend(f"entry/{name}", "platform")
        await anyio.sleep(SETTLE_S if case.is_fresh else 0.0)
    return accepted_s


async def _measure_world(world, case: Case) -> list[float]:
    await _add_hosts(world, _make_names(case.hosts))
    in_force = InForce(world=world)
    async with anyio.create_task_group() as group:
        for name in world.entries:
            group.start_soon(in_force.watch, name)
        accepted_s = await _change_often(world, case)
        await anyio.sleep(SETTLE_S)
        group.cancel_scope.cancel()
    return [
        delay_s
        for version, at_s in accepted_s.items()
        for delay_s in in_force.delays_s(version, accepted_s=at_s)
    ]


def _measure_in_force(case: Case) -> list[base.Measure]:
    delays_s: list[float] = []

    async def _main(world) -> None:
        delays_s.extend(await _measure_world(world, case))

    builders.run_world(_main)
    name = f"configuration/{case.name()}"
    return [
        base.Measure(
            name=f"{name}/p50", value=statistics.median(delays_s), unit="s"
        ),
        base.Measure(
            name=f"{name}/max",
            value=max(delays_s),
            unit="s",
            at_most=IN_FORCE_BOUND_S,
        ),
    ]


def _make_document() -> configuration.Document:
    services = {f"service-{n}": {"deadline_ms": 500} for n in range(SERVICES)}
    return {
        "teams": {f"team-{n}": {"services": services} for n in range(TEAMS)}
    }


def _make_changes(count: int) -> list[configurations.ConfigChange]:
    return [
        configurations.ConfigChange(
            version=number + 2,
            patch={
                "teams": {
                    f"team-{number % TEAMS}": {
                        "services": {"service-0": {"deadline_ms": number + 1}}
                    }
                }
            },
            author="operator",
            note="a shorter deadline",
            applied_unix_s=1.8e9,
        )
        for number in range(count)
    ]


def _measure_cpu_ms() -> float:
    document = _make_document()
    current = configuration.parse(document, version=1)
    changes = _make_changes(CPU_CHANGES)
    started_s = time.process_time()
    for change in changes:
        document = patches.apply(document, change.patch)
        current = configuration.reparse(
            current, document, change.patch, version=change.version
        )
    return (time.process_time() - started_s) * 1000.0 / len(changes)


def _measure_costs() -> list[base.Measure]:
    change = _make_changes(1)[0]
    row = platforms.Row(
        key="config/version/000000000002",
        value=rows.to_value(change),
        version=1,
    )
    heartbeat = messages.Heartbeat(config_version=45_000)
    passed_on = messages.ConfigChanges(changes=[change])
    sizes_bytes = {
        "bytes of a change polled": len(rows.to_json([row])),
        "bytes of a change passed on": len(cbor.encode(passed_on)),
        "bytes of a heartbeat": len(cbor.encode(heartbeat)),
        "bytes of a whole version": len(rows.to_json(_make_document())),
    }
    found = [
        base.Measure(name=f"configuration/{name}", value=size, unit="bytes")
        for name, size in sizes_bytes.items()
    ]
    found.append(
        base.Measure(
            name=f"configuration/{TEAMS} teams/CPU of a change on a host",
            value=_measure_cpu_ms(),
            unit="ms",
            at_most=CPU_BOUND_MS,
        )
    )
    return found


@base.BENCHES.register("configuration")
def run() -> list[base.Measure]:
    """Measure the way of a change to the hosts, in virtual time."""
    found = [measure for case in CASES for measure in _measure_in_force(case)]
    return found + _measure_costs()
