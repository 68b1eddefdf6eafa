"""Measures idle costs of the daemons, and costs per worker and host."""

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
class IdleCost:
    """Costs of an idle cluster.

    Attributes:
        scheduler_cores: CPU seconds per second of a scheduler.
        entry_cores: CPU seconds per second of an entry daemon.
        scheduler_bytes: Resident memory of a scheduler.
        entry_bytes: Resident memory of an entry daemon.
        reads_per_s: Reads of the table per second by all daemons.
        writes_per_s: Writes of the table per second by all daemons.
        wire_bytes_per_s: Bytes per second on the loopback interface.
    """

    scheduler_cores: float
    entry_cores: float
    scheduler_bytes: float
    entry_bytes: float
    reads_per_s: float
    writes_per_s: float
    wire_bytes_per_s: float


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


async def measure_idle(*, hosts: int, workers: int) -> IdleCost:
    """Measure an idle cluster of one zone.

    Args:
        hosts: Number of entry hosts.
        workers: Number of workers.
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
        counts_before = await cluster.get(counts_url)
        wire_bytes = _loopback_bytes()
        cpu_before_s = {
            role: sum(map(processes.cpu_s, role_pids))
            for role, role_pids in pids.items()
        }
        await anyio.sleep(MEASURE_S)
        counts_after = await cluster.get(counts_url)
        cores = {
            role: (sum(map(processes.cpu_s, role_pids)) - cpu_before_s[role])
            / (MEASURE_S * hosts)
            for role, role_pids in pids.items()
        }
        memory_bytes = {
            role: sum(map(processes.rss_bytes, role_pids)) / hosts
            for role, role_pids in pids.items()
        }
        return IdleCost(
            scheduler_cores=cores[holdings.Role.SCHEDULER],
            entry_cores=cores[holdings.Role.ENTRY],
            scheduler_bytes=memory_bytes[holdings.Role.SCHEDULER],
            entry_bytes=memory_bytes[holdings.Role.ENTRY],
            reads_per_s=(counts_after["reads"] - counts_before["reads"])
            / MEASURE_S,
            writes_per_s=(counts_after["writes"] - counts_before["writes"])
            / MEASURE_S,
            wire_bytes_per_s=(_loopback_bytes() - wire_bytes) / MEASURE_S,
        )


def _slope(baseline: float, enlarged: float, added: int) -> float:
    """Return the increase per added worker or host; 0 for a decrease."""
    return max(0.0, enlarged - baseline) / added


async def _run() -> list[base.Measurement]:
    few = await measure_idle(hosts=1, workers=FEW_WORKERS)
    many = await measure_idle(hosts=1, workers=MANY_WORKERS)
    multi = await measure_idle(hosts=MANY_HOSTS, workers=FEW_WORKERS)
    workers = MANY_WORKERS - FEW_WORKERS
    hosts = MANY_HOSTS - 1
    figures = [
        ("scheduler/processor", 100 * few.scheduler_cores, "% core", 1.6),
        ("scheduler/memory", few.scheduler_bytes / 10**6, "MB", 64.0),
        ("entry/processor", 100 * few.entry_cores, "% core", 1.6),
        ("entry/memory", few.entry_bytes / 10**6, "MB", 64.0),
        (
            "worker/processor",
            100 * _slope(few.scheduler_cores, many.scheduler_cores, workers),
            "% core",
            1.6,
        ),
        (
            "worker/memory",
            _slope(few.scheduler_bytes, many.scheduler_bytes, workers) / 1000,
            "KB",
            64_000.0,
        ),
        (
            "worker/wire",
            _slope(few.wire_bytes_per_s, many.wire_bytes_per_s, workers)
            / 1000,
            "KB/s",
            5.0,
        ),
        (
            "worker/reads",
            _slope(few.reads_per_s, many.reads_per_s, workers),
            "1/s",
            None,
        ),
        (
            "host/reads",
            _slope(few.reads_per_s, multi.reads_per_s, hosts),
            "1/s",
            None,
        ),
        (
            "host/writes",
            _slope(few.writes_per_s, multi.writes_per_s, hosts),
            "1/s",
            None,
        ),
        (
            "host/wire",
            _slope(few.wire_bytes_per_s, multi.wire_bytes_per_s, hosts) / 1000,
            "KB/s",
            None,
        ),
    ]
    return [
        base.Measurement(
            name=f"control/{name}", value=value, unit=unit, at_most=limit
        )
        for name, value, unit, limit in figures
    ]


@base.BENCHMARKS.register("control")
def bench_control() -> list[base.Measurement]:
    """Measure idle daemons, and the cost of one more worker or host."""
    return anyio.run(_run)
