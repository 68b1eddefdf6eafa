"""What control costs while nothing happens, by slopes over real processes."""

import contextlib
import dataclasses
import pathlib
import tempfile
import typing

import anyio

from wisteriawood.bench import base
from wisteriawood.bench import processes
from wisteriawood.contracts import holdings
from wisteriawood.links import configurations
from wisteriawood.standins import clusters

ZONE = "linz-a"
DOCUMENT = {
    "teams": {
        "vitrinenklima": {"services": {"humidity": {"deadline_ms": 2000}}}
    }
}
SETTLE_S = 12.0
MEASURE_S = 15.0
FEW_WORKERS = 1
MANY_WORKERS = 9
MANY_HOSTS = 3
LOOPBACK = "lo:"


@dataclasses.dataclass(slots=True, kw_only=True)
class Idle:
    """What an idle cluster costs.

    Attributes:
        scheduler_cores: Processor time of the scheduler per second.
        entry_cores: Processor time of the entry daemon per second.
        scheduler_bytes: Memory of the scheduler.
        entry_bytes: Memory of the entry daemon.
        reads: Reads of the table per second.
        writes: Writes of the table per second.
        wire_bytes: Bytes between all processes per second.
    """

    scheduler_cores: float
    entry_cores: float
    scheduler_bytes: float
    entry_bytes: float
    reads: float
    writes: float
    wire_bytes: float


def _loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        fields = line.split()
        if fields and fields[0] == LOOPBACK:
            return int(fields[1])
    return 0


@contextlib.asynccontextmanager
async def _cluster(
    hosts: int, workers: int
) -> typing.AsyncIterator[clusters.LocalCluster]:
    with tempfile.TemporaryDirectory() as folder:
        cluster = clusters.LocalCluster(
            folder=pathlib.Path(folder),
            zones=[ZONE],
            hosts_per_zone=hosts,
            workers_per_zone=workers,
        )
        try:
            await cluster.start()
            platform = cluster.platform()
            await configurations.apply(platform, DOCUMENT, base=0)
            await platform.aclose()
            await anyio.sleep(SETTLE_S)
            yield cluster
        finally:
            await cluster.stop()


async def measure_idle(*, hosts: int, workers: int) -> Idle:
    """Measure an idle cluster of one zone.

    Args:
        hosts: Entry hosts.
        workers: Workers.
    """
    async with _cluster(hosts, workers) as cluster:
        counts_url = f"{cluster.platform_url}/counts"
        pids = {
            role: [
                daemon.process.pid
                for name, daemon in cluster.daemons.items()
                if name.startswith(f"{role}/")
            ]
            for role in holdings.Role
        }
        counts = await cluster.get(counts_url)
        wire = _loopback_bytes()
        cores = {
            role: sum(map(processes.cpu_s, found))
            for role, found in pids.items()
        }
        await anyio.sleep(MEASURE_S)
        after = await cluster.get(counts_url)
        used = {
            role: (sum(map(processes.cpu_s, found)) - cores[role])
            / (MEASURE_S * hosts)
            for role, found in pids.items()
        }
        held = {
            role: sum(map(processes.rss_bytes, found)) / hosts
            for role, found in pids.items()
        }
        return Idle(
            scheduler_cores=used[holdings.Role.SCHEDULER],
            entry_cores=used[holdings.Role.ENTRY],
            scheduler_bytes=held[holdings.Role.SCHEDULER],
            entry_bytes=held[holdings.Role.ENTRY],
            reads=(after["reads"] - counts["reads"]) / MEASURE_S,
            writes=(after["writes"] - counts["writes"]) / MEASURE_S,
            wire_bytes=(_loopback_bytes() - wire) / MEASURE_S,
        )


def _slope(few: float, many: float, more: int) -> float:
    return max(0.0, many - few) / more


async def _run() -> list[base.Measure]:
    one = await measure_idle(hosts=1, workers=FEW_WORKERS)
    wide = await measure_idle(hosts=1, workers=MANY_WORKERS)
    tall = await measure_idle(hosts=MANY_HOSTS, workers=FEW_WORKERS)
    workers = MANY_WORKERS - FEW_WORKERS
    hosts = MANY_HOSTS - 1
    figures = [
        ("scheduler/processor", 100 * one.scheduler_cores, "% core", 1.6),
        ("scheduler/memory", one.scheduler_bytes / 10**6, "MB", 64.0),
        ("entry/processor", 100 * one.entry_cores, "% core", 1.6),
        ("entry/memory", one.entry_bytes / 10**6, "MB", 64.0),
        (
            "worker/processor",
            100 * _slope(one.scheduler_cores, wide.scheduler_cores, workers),
            "% core",
            1.6,
        ),
        (
            "worker/memory",
            _slope(one.scheduler_bytes, wide.scheduler_bytes, workers) / 1000,
            "KB",
            64_000.0,
        ),
        (
            "worker/wire",
            _slope(one.wire_bytes, wide.wire_bytes, workers) / 1000,
            "KB/s",
            5.0,
        ),
        (
            "worker/reads",
            _slope(one.reads, wide.reads, workers),
            "1/s",
            None,
        ),
        ("host/reads", _slope(one.reads, tall.reads, hosts), "1/s", None),
        ("host/writes", _slope(one.writes, tall.writes, hosts), "1/s", None),
        (
            "host/wire",
            _slope(one.wire_bytes, tall.wire_bytes, hosts) / 1000,
            "KB/s",
            None,
        ),
    ]
    return [
        base.Measure(name=f"control/{name}", value=v, unit=unit, at_most=most)
        for name, v, unit, most in figures
    ]


@base.BENCHES.register("control")
def bench_control() -> list[base.Measure]:
    """Measure idle daemons, and what a further worker and host cost."""
    return anyio.run(_run)
