"""Measures the CPU time and memory that a request costs."""

import time
import tracemalloc

import anyio

from wisteriawood.bench import zone_fakes
from wisteriawood.contracts import requests
from wisteriawood.machines import dispatchers
from wisteriawood.machines import outliers
from wisteriawood.machines import services
from wisteriawood.telemetry import spans


class InstantLink:
    """A link to a target that answers immediately."""

    __slots__ = ()

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Return an empty answer."""
        return requests.Answer(request_id=request.id)

    async def aclose(self) -> None:
        """Do nothing."""


async def measure_decision_s(
    zone: zone_fakes.FakeZone, *, count: int
) -> float:
    """Return the CPU time of one request's decisions, in seconds.

    Three quarters of the slots are in use during the measurement.

    Args:
        zone: Zone whose first entry host is measured.
        count: Number of requests to average over.
    """
    zone.grant({"0": 1.0})
    service = zone.services[0]
    request = requests.Request(
        id="request", team=service.team, service=service.name
    )
    request.deadline_s = anyio.current_time() + 1e6
    slots = service.slots()
    held = [await service.acquire(request) for _ in range(slots * 3 // 4)]
    result = services.AttemptResult(
        verdict=outliers.Verdict.GOOD,
        latency_s=zone_fakes.MEAN_SERVICE_TIME_S,
        is_done=True,
    )
    started_s = time.process_time()
    for number in range(count):
        index = number % len(held)
        service.release(held[index], request, result)
        held[index] = await service.acquire(request)
    return (time.process_time() - started_s) / count


async def measure_dispatch_s(
    zone: zone_fakes.FakeZone, *, count: int
) -> float:
    """Return the CPU time of a whole dispatch, in seconds.

    The targets answer immediately. Spans are created but not written.

    Args:
        zone: Zone whose first entry host is measured.
        count: Number of requests to average over.
    """
    zone.grant({"0": 1.0})
    service = zone.services[0]
    for target in service.targets.values():
        target.link = InstantLink()
    dispatcher = dispatchers.Dispatcher(
        services={(service.team, service.name): service},
        tracer=spans.Tracer(service="bench"),
    )
    started_s = time.process_time()
    for number in range(count):
        request = requests.Request(
            id=str(number),
            team=service.team,
            service=service.name,
            deadline_s=anyio.current_time() + 1.0,
        )
        await dispatcher.dispatch(request)
    return (time.process_time() - started_s) / count


async def measure_waiting_bytes(
    zone: zone_fakes.FakeZone, *, count: int
) -> float:
    """Return the memory that each waiting request uses, in bytes.

    Args:
        zone: Zone whose first entry host is measured.
        count: Number of requests to average over.
    """
    service = zone.services[0]
    async with anyio.create_task_group() as group:
        tracemalloc.start()
        before_bytes, _peak = tracemalloc.get_traced_memory()
        for number in range(count):
            request = requests.Request(
                id=str(number),
                team=service.team,
                service=service.name,
                deadline_s=anyio.current_time() + 1e6,
            )
            group.start_soon(service.acquire, request)
        await anyio.sleep(1)
        after_bytes, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        group.cancel_scope.cancel()
    return (after_bytes - before_bytes) / count
