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


class TargetServers:
    """Serves the targets of a worker's services, each on a free port.

    Args:
        host: Address that they listen on.
        ports: Their ports.
    """

    __slots__ = ("_count", "_free", "_host", "served")

    def __init__(self, *, host: str, ports: list[int]):
        self._count = len(ports)
        self._free = list(ports)
        self._host = host
        self.served: list[targets.StandinTarget] = []

    async def serve(self, attempt: workers.Attempt) -> None:
        """Serve the target of an attempt until it stops.

        Args:
            attempt: The attempt; it learns the address.
        """
        target = targets.StandinTarget(
            name=attempt.spec.id,
            slots=attempt.spec.slots,
            service_s=float(attempt.spec.arguments.get("service_s", 0.01)),
        )
        self.served.append(target)
        port = self._free.pop(0)
        attempt.address = f"{self._host}:{port}"
        await https.serve_until(
            target.make_app(), attempt.address, attempt.stop
        )
        self._free.append(port)

    async def wait_until_stopped(self) -> None:
        """Wait until no target is served."""
        while len(self._free) < self._count:
            await anyio.sleep(PORT_PERIOD_S)


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
    servers = TargetServers(host=host, ports=target_ports)
    worker = workers.StandinWorker(
        name=name,
        capacity=capacity,
        objects=platforms.HttpPlatform(url=platform_url),
        serve_target=servers.serve,
    )
    app = workers.WorkerApp(worker=worker, served=servers.served).make_app()
    async with anyio.create_task_group() as group:
        group.start_soon(worker.run)
        await _serve_until_told(app, address)
        for attempt in worker.attempts.values():
            attempt.stop.set()
        await servers.wait_until_stopped()
        group.cancel_scope.cancel()
