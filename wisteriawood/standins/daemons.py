"""Processes of the stand-ins."""

import signal
import typing

import anyio

from wisteriawood.contracts import resources
from wisteriawood.links import https
from wisteriawood.links import platforms
from wisteriawood.standins import platforms as platform_standins
from wisteriawood.standins import targets
from wisteriawood.standins import workers

PORT_PERIOD_S = 0.02


async def _serve_until_told(app: typing.Any, address: str) -> None:
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:

        async def _watch() -> None:
            with anyio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT
            ) as caught:
                async for _number in caught:
                    stopping.set()
                    return

        group.start_soon(_watch)
        await https.serve_until(app, address, stopping)
        group.cancel_scope.cancel()


async def run_platform(*, address: str) -> None:
    """Run the stand-in of the platform.

    Args:
        address: Where it listens, as host:port.
    """
    platform = platform_standins.MemoryPlatform()
    app = platform_standins.PlatformApp(platform=platform).make_app()
    await _serve_until_told(app, address)


async def run_target(
    *, name: str, address: str, slots: int, service_s: float
) -> None:
    """Run the stand-in of a target.

    Args:
        name: Name of the target.
        address: Where it listens, as host:port.
        slots: Requests that it should get at once.
        service_s: Time that each request takes.
    """
    target = targets.StandinTarget(name=name, slots=slots, service_s=service_s)
    await _serve_until_told(target.make_app(), address)


async def run_worker(
    *,
    name: str,
    address: str,
    platform_url: str,
    capacity: resources.Resources,
    target_ports: list[int],
) -> None:
    """Run the stand-in of a worker.

    Args:
        name: Name of the worker.
        address: Where it listens, as host:port.
        platform_url: Base address of the platform, for checkpoints.
        capacity: What it offers.
        target_ports: Ports for the targets that it serves.
    """
    host = address.rsplit(":", 1)[0]
    free_ports = list(target_ports)
    served: list[targets.StandinTarget] = []

    async def _serve_target(attempt: workers.Attempt) -> None:
        target = targets.StandinTarget(
            name=attempt.spec.id,
            slots=attempt.spec.slots,
            service_s=float(attempt.spec.arguments.get("service_s", 0.01)),
        )
        served.append(target)
        port = free_ports.pop(0)
        target_address = f"{host}:{port}"
        attempt.address = target_address
        await https.serve_until(
            target.make_app(), target_address, attempt.stop
        )
        free_ports.append(port)

    worker = workers.StandinWorker(
        name=name,
        capacity=capacity,
        objects=platforms.HttpPlatform(url=platform_url),
        serve_target=_serve_target,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(worker.run)
        app = workers.WorkerApp(worker=worker, served=served).make_app()
        await _serve_until_told(app, address)
        for attempt in worker.attempts.values():
            attempt.stop.set()
        while len(free_ports) < len(target_ports):
            await anyio.sleep(PORT_PERIOD_S)
        group.cancel_scope.cancel()
