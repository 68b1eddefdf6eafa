"""Processor time and memory of one request's decisions."""

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
    """A link to a target that answers at once."""

    __slots__ = ()

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Return an empty answer."""
        return requests.Answer(request_id=request.id)

    async def aclose(self) -> None:
        """Do nothing."""


async def decide_s(zone: zone_fakes.FakeZone, *, count: int) -> float:
    """Return the processor time of one request's decisions, in seconds.

    Three quarters of the slots are taken meanwhile.

    Args:
        zone: Its entry host decides.
        count: Number of requests over which to take the mean.
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
        latency_s=zone_fakes.MEAN_SERVICE_S,
        is_done=True,
    )
    started_s = time.process_time()
    for number in range(count):
        place = number % len(held)
        service.release(held[place], request, result)
        held[place] = await service.acquire(request)
    return (time.process_time() - started_s) / count


async def dispatch_s(zone: zone_fakes.FakeZone, *, count: int) -> float:
    """Return the processor time of a whole dispatch, in seconds.

    The targets answer at once; spans are made and not written.

    Args:
        zone: Its entry host decides.
        count: Number of requests over which to take the mean.
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


async def waiting_bytes(zone: zone_fakes.FakeZone, *, count: int) -> float:
    """Return the memory that one more waiting request takes.

    Args:
        zone: Its entry host decides.
        count: Number of requests over which to take the mean.
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
