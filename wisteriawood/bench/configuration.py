"""Measures the delay, bytes and CPU time of configuration changes."""

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

MAX_ACTIVATION_S = 3.0
ZONES = ("linz-a", "wien-b", "graz-c")
LINK_DELAY_S = 0.0045
SETTLE_S = 6.0
CHANGES = 5
CHANGE_PERIOD_S = 3.37
START_SPREAD_S = 1.0
LATE_ISOLATION_S = 0.1
TEAMS = 140
SERVICES_PER_TEAM = 4
CPU_CHANGES = 500
MAX_CHANGE_CPU_MS = 2.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Case:
    """Conditions of one measurement.

    Attributes:
        hosts: Number of entry hosts.
        isolated_every: One in this many hosts is cut off from the
            platform; 0 for none.
        is_isolated_late: Whether hosts are cut off LATE_ISOLATION_S before
            each change and reconnected after it; otherwise they are cut
            off before the first change and stay so.
    """

    hosts: int
    isolated_every: int = 0
    is_isolated_late: bool = False

    def name(self) -> str:
        """Return the case as part of the name of a measurement."""
        if not self.isolated_every:
            return f"{self.hosts} hosts, none cut off"
        since = " just before" if self.is_isolated_late else ""
        return f"{self.hosts} hosts, 1 of {self.isolated_every} cut off{since}"


CASES = (
    Case(hosts=6),
    Case(hosts=6, isolated_every=3),
    Case(hosts=6, isolated_every=3, is_isolated_late=True),
    Case(hosts=200, isolated_every=3),
)


class ActivationTimes:
    """Times at which entry hosts activated configuration versions.

    Args:
        world: World whose entry hosts are observed.
    """

    __slots__ = ("_activated_s", "_world")

    def __init__(self, *, world):
        self._world = world
        self._activated_s: dict[tuple[str, int], float] = {}

    async def watch(self, name: str) -> None:
        """Record when a host activates a version, until cancelled.

        Args:
            name: Name of the entry host.
        """
        follower = self._world.entries[name].configuration
        while True:
            changed = follower.changed
            self._activated_s.setdefault(
                (name, follower.version), anyio.current_time()
            )
            await changed.wait()

    def delays_s(self, version: int, *, accepted_s: float) -> list[float]:
        """Return each host's delay from acceptance to activation.

        The delay is infinite if the host has not activated the version.

        Args:
            version: Version number.
            accepted_s: Virtual time at which the version was accepted.
        """
        return [
            max(
                0.0,
                self._activated_s.get((name, version), math.inf) - accepted_s,
            )
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


async def _apply_changes(world, case: Case) -> dict[int, float]:
    """Apply changes and return the time of acceptance by version."""
    isolated = (
        []
        if not case.isolated_every
        else list(world.entries)[:: case.isolated_every]
    )
    accepted_s = {}
    for number in range(CHANGES):
        for name in isolated:
            world.cut(f"entry/{name}", "platform")
        await anyio.sleep(
            LATE_ISOLATION_S if case.is_isolated_late else CHANGE_PERIOD_S
        )
        document = builders.make_configuration(deadline_ms=100 + number)
        version = await config_links.apply(
            world.platform, document, base=number
        )
        accepted_s[version] = anyio.current_time()
        await anyio.sleep(CHANGE_PERIOD_S)
        for name in isolated:
            if case.is_isolated_late:
                world.heal(f"entry/{name}", "platform")
        await anyio.sleep(SETTLE_S if case.is_isolated_late else 0.0)
    return accepted_s


async def _measure_world(world, case: Case) -> list[float]:
    await _add_hosts(world, _make_names(case.hosts))
    activations = ActivationTimes(world=world)
    async with anyio.create_task_group() as group:
        for name in world.entries:
            group.start_soon(activations.watch, name)
        accepted_s = await _apply_changes(world, case)
        await anyio.sleep(SETTLE_S)
        group.cancel_scope.cancel()
    return [
        delay_s
        for version, at_s in accepted_s.items()
        for delay_s in activations.delays_s(version, accepted_s=at_s)
    ]


def _measure_activation(case: Case) -> list[base.Measurement]:
    delays_s: list[float] = []

    async def _main(world) -> None:
        delays_s.extend(await _measure_world(world, case))

    builders.run_world(_main)
    name = f"configuration/{case.name()}"
    return [
        base.Measurement(
            name=f"{name}/p50", value=statistics.median(delays_s), unit="s"
        ),
        base.Measurement(
            name=f"{name}/max",
            value=max(delays_s),
            unit="s",
            at_most=MAX_ACTIVATION_S,
        ),
    ]


def _make_document() -> configuration.Document:
    services = {
        f"service-{n}": {"deadline_ms": 500} for n in range(SERVICES_PER_TEAM)
    }
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


def _measure_costs() -> list[base.Measurement]:
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
    measurements = [
        base.Measurement(
            name=f"configuration/{name}", value=size, unit="bytes"
        )
        for name, size in sizes_bytes.items()
    ]
    measurements.append(
        base.Measurement(
            name=f"configuration/{TEAMS} teams/CPU of a change on a host",
            value=_measure_cpu_ms(),
            unit="ms",
            at_most=MAX_CHANGE_CPU_MS,
        )
    )
    return measurements


@base.BENCHMARKS.register("configuration")
def bench_configuration() -> list[base.Measurement]:
    """Measure changes in virtual time, and their bytes and CPU time."""
    measurements = [
        measurement
        for case in CASES
        for measurement in _measure_activation(case)
    ]
    return measurements + _measure_costs()
