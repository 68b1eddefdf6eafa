"""Measures what it costs a host to follow the directory of workers."""

import json
import subprocess
import sys
import time

import anyio

from wisteriawood.bench import base
from wisteriawood.links import stores
from wisteriawood.machines import job_hosts
from wisteriawood.platform import directory
from wisteriawood.platform import odd_entries
from wisteriawood.platform import worker_followers
from wisteriawood.standins import job_worlds
from wisteriawood.standins import stores as store_standins

WORKER_COUNTS = (270, 2000)
# Each worker changes its entry once in this time, and the holder of a cell
# reads the changes with this period.
HEARTBEAT_S = 1.5
READ_PERIOD_S = worker_followers.POLL_PAUSE_S
READS = 60
# Control of a node may take 1.6% of a core and 64 MB.
MAX_CORES = 0.016
MAX_MEMORY_MB = 64.0
MEGABYTE_KB = 1024
# Prints the peak resident memory, in KB, of a process that has imported what a
# job host imports.
_IMPORT_SCRIPT = (
    "import resource, time\n"
    "import wisteriawood.platform.__main__\n"
    "usage = resource.getrusage(resource.RUSAGE_SELF)\n"
    "print(usage.ru_maxrss, time.process_time())\n"
)


def _make_host() -> job_hosts.JobHost:
    store = store_standins.MemoryStore()
    return job_hosts.JobHost(
        name="host",
        zone="a",
        zones=["a"],
        store=store.link("host"),
        dial=lambda _registration: None,
        limits=job_worlds.LIMITS,
    )


def _entry_row(worker: int, version: int) -> stores.StoredRow:
    entry = odd_entries.ENTRY | {
        "address": f"10.0.{worker // 250}.{worker % 250 + 1}:80",
        "sequence": version,
        "clock_ms": version,
    }
    at = stores.RowKey(table=directory.WORKER_TABLE, key=f"w-{worker}")
    return stores.StoredRow(
        at=at, value=json.dumps(entry).encode(), version=version
    )


async def _measure_cores(count: int) -> float:
    """Return the CPU seconds per second of reading the changed entries."""
    follower = worker_followers.WorkerFollower(host=_make_host())
    batch = int(count * READ_PERIOD_S / HEARTBEAT_S)
    version = 1
    follower._process_rows([_entry_row(w, version) for w in range(count)])
    used_s = 0.0
    first = 0
    for _read in range(READS):
        version += 1
        changed = [
            _entry_row((first + number) % count, version)
            for number in range(batch)
        ]
        first += batch
        started_s = time.process_time()
        follower._process_rows(changed)
        used_s += time.process_time() - started_s
    return used_s / (READS * READ_PERIOD_S)


@base.BENCHMARKS.register("directories")
def bench_directories() -> list[base.Measurement]:
    """Measure a follower of the directory, and the imports of a host."""
    measured = [
        base.Measurement(
            name=f"directories/{count}/processor",
            value=anyio.run(_measure_cores, count),
            unit="core",
            at_most=MAX_CORES,
        )
        for count in WORKER_COUNTS
    ]
    output = subprocess.run(
        [sys.executable, "-c", _IMPORT_SCRIPT],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    return measured + [
        base.Measurement(
            name="directories/imports/memory",
            value=int(output[0]) / MEGABYTE_KB,
            unit="MB",
            at_most=MAX_MEMORY_MB,
        ),
        base.Measurement(
            name="directories/imports/processor",
            value=float(output[1]),
            unit="s",
        ),
    ]
