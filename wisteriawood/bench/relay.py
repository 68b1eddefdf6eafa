"""Compares an entry host with a minimal relay, over real sockets."""

import contextlib
import functools
import pathlib
import random
import tempfile
import typing

import anyio
import httpx
from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from wisteriawood.bench import base
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links import configurations
from wisteriawood.links import https
from wisteriawood.links import jobs
from wisteriawood.standins import clusters
from wisteriawood.standins import loads

ZONE = "linz-a"
TEAM = "vitrinenklima"
SERVICE = "humidity"
SLOTS_PER_INSTANCE = 8
INSTANCES = 4
CALLERS = 16
ROUND_S = 4.0
ROUNDS = 3
MEMORY_BYTES = 10**9


def make_relay(target_url: str) -> applications.Starlette:
    """Return a relay that forwards every request to one target.

    Args:
        target_url: Base URL of the target.
    """
    client = httpx.AsyncClient(base_url=target_url, trust_env=False)

    async def _relay(incoming: http_requests.Request) -> responses.Response:
        response = await client.request(
            incoming.method,
            "/" + incoming.path_params["path"],
            content=await incoming.body(),
        )
        return responses.Response(
            response.content, status_code=response.status_code
        )

    return applications.Starlette(
        routes=[routing.Route("/{path:path}", _relay, methods=["POST"])]
    )


async def run_relay(*, target_url: str, address: str) -> None:
    """Serve the relay until cancelled.

    Args:
        target_url: Base URL of the target.
        address: Address on which the relay listens, as host:port.
    """
    await https.serve_until(make_relay(target_url), address, anyio.Event())


class LoadSample(typing.NamedTuple):
    """Throughput and latencies of one round of load."""

    per_s: float
    p50_ms: float
    p99_ms: float


async def _measure(address: str, path: str) -> LoadSample:
    load = loads.Load(
        addresses=[address],
        path=path,
        rng=random.Random(1),
        run_once_share=0.0,
        pause_s=0.0,
    )
    await load.run(callers_at_once=CALLERS, seconds=ROUND_S)
    await load.aclose()
    p50_ms, p99_ms = load.quantiles_ms(0.5, 0.99)
    completed = sum(1 for call in load.sent if call.is_echo)
    return LoadSample(per_s=completed / ROUND_S, p50_ms=p50_ms, p99_ms=p99_ms)


@contextlib.asynccontextmanager
async def _cluster() -> typing.AsyncIterator[clusters.LocalCluster]:
    with tempfile.TemporaryDirectory() as folder:
        cluster = clusters.LocalCluster(
            folder=pathlib.Path(folder),
            zones=[ZONE],
            hosts_per_zone=1,
            workers_per_zone=1,
        )
        try:
            await cluster.start()
            yield cluster
        finally:
            await cluster.stop()


async def _start_service(cluster: clusters.LocalCluster) -> None:
    platform = cluster.platform()
    document = {
        "teams": {TEAM: {"services": {SERVICE: {"deadline_ms": 5000}}}}
    }
    await configurations.apply(platform, document, base=0, author="bench")
    specs = [
        tasks.TaskSpec(
            id=f"service-{number}",
            team=TEAM,
            kind=tasks.TaskKind.SERVICE,
            service=SERVICE,
            slots=SLOTS_PER_INSTANCE,
            needs=resources.Resources(cores=1.0, memory_bytes=MEMORY_BYTES),
            arguments={"service_s": "0"},
        )
        for number in range(INSTANCES)
    ]
    await jobs.submit(platform, specs, zone=ZONE)
    await platform.aclose()
    await cluster.wait_until_ready(f"{ZONE}-1")
    # Wait until the slots of all instances are granted.
    await anyio.sleep(5.0)


async def _target_url(cluster: clusters.LocalCluster) -> str:
    address = cluster.worker_addresses[f"worker-{ZONE}-1"]
    inventory = await cluster.get(f"http://{address}/inventory")
    return "http://" + inventory["attempts"][0]["address"]


async def _run() -> list[base.Measurement]:
    async with _cluster() as cluster:
        await _start_service(cluster)
        address = f"{clusters.HOST}:{clusters.free_ports(1)[0]}"
        target_url = await _target_url(cluster)
        relay = await cluster.start_python(
            "relay",
            "import functools, anyio; from wisteriawood.bench import relay; "
            "anyio.run(functools.partial(relay.run_relay, "
            f"target_url={target_url!r}, address={address!r}))",
        )
        await anyio.sleep(2.0)
        entry = cluster.entry_hosts[f"{ZONE}-1"].caller_address
        entry_samples: list[LoadSample] = []
        relay_samples: list[LoadSample] = []
        for _round in range(ROUNDS):
            entry_samples.append(await _measure(entry, f"/{TEAM}/{SERVICE}/x"))
            relay_samples.append(await _measure(address, "/x"))
        await relay.stop()
    return _compare(entry_samples, relay_samples)


def _median(values: typing.Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def _compare(
    entry_samples: list[LoadSample], relay_samples: list[LoadSample]
) -> list[base.Measurement]:
    def _figure(name: str, field: str, unit: str) -> list[base.Measurement]:
        return [
            base.Measurement(
                name=f"relay/{subject}/{name}",
                value=_median(getattr(s, field) for s in samples),
                unit=unit,
            )
            for subject, samples in (
                ("entry", entry_samples),
                ("bare", relay_samples),
            )
        ]

    ratio = _median(
        entry.per_s / relay.per_s
        for entry, relay in zip(entry_samples, relay_samples, strict=True)
    )
    return [
        *_figure("throughput", "per_s", "1/s"),
        *_figure("p50", "p50_ms", "ms"),
        *_figure("p99", "p99_ms", "ms"),
        base.Measurement(
            name="relay/throughput-ratio",
            value=ratio,
            unit="",
            at_least=0.8,
        ),
    ]


@base.BENCHMARKS.register("relay")
def bench_relay() -> list[base.Measurement]:
    """Measure an entry host and a minimal relay under the same load."""
    return anyio.run(functools.partial(_run))
