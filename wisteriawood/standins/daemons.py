"""Entry points of the stand-ins that run as processes."""

import signal
import typing

import anyio

from wisteriawood.contracts import resources
from wisteriawood.links import https
from wisteriawood.links import platforms
from wisteriawood.standins import platforms as platform_standins
from wisteriawood.standins import targets
from wisteriawood.standins import workers

STOP_POLL_PERIOD_S = 0.02


async def _serve_until_signal(app: typing.Any, address: str) -> None:
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
    """Run the platform stand-in until SIGTERM or SIGINT.

    Args:
        address: Address to listen on, as host:port.
    """
    platform = platform_standins.MemoryPlatform()
    app = platform_standins.PlatformApp(platform=platform).make_app()
    await _serve_until_signal(app, address)


async def run_target(
    *, name: str, address: str, slots: int, service_s: float
) -> None:
    """Run a target stand-in until SIGTERM or SIGINT.

    Args:
        name: Name of the target.
        address: Address to listen on, as host:port.
        slots: Largest number of requests it should have in flight.
        service_s: Service time of each request in seconds.
    """
    target = targets.StandinTarget(name=name, slots=slots, service_s=service_s)
    await _serve_until_signal(target.make_app(), address)


class TargetServers:
    """Serves the targets of a worker's service attempts, one port each.

    Args:
        host: Host name or IP address that the targets listen on.
        ports: Ports that the targets listen on.

    Attributes:
        served: All targets that are or were served.
    """

    __slots__ = ("_count", "_free_ports", "_host", "served")

    def __init__(self, *, host: str, ports: list[int]):
        self._count = len(ports)
        self._free_ports = list(ports)
        self._host = host
        self.served: list[targets.StandinTarget] = []

    async def serve(self, attempt: workers.Attempt) -> None:
        """Serve the target of an attempt until it stops.

        Args:
            attempt: The attempt; its address is set.
        """
        target = targets.StandinTarget(
            name=attempt.spec.id,
            slots=attempt.spec.slots,
            service_s=float(attempt.spec.arguments.get("service_s", 0.01)),
        )
        self.served.append(target)
        port = self._free_ports.pop(0)
        attempt.address = f"{self._host}:{port}"
        await https.serve_until(
            target.make_app(), attempt.address, attempt.stop
        )
        self._free_ports.append(port)

    async def wait_until_stopped(self) -> None:
        """Wait until all targets have stopped."""
        while len(self._free_ports) < self._count:
            await anyio.sleep(STOP_POLL_PERIOD_S)


async def run_worker(
    *,
    name: str,
    address: str,
    platform_url: str,
    capacity: resources.Resources,
    target_ports: list[int],
) -> None:
    """Run a worker stand-in until SIGTERM or SIGINT.

    Args:
        name: Name of the worker.
        address: Address to listen on, as host:port.
        platform_url: Base URL of the platform, which stores checkpoints.
        capacity: Resources that the worker offers.
        target_ports: Ports for the targets of its service attempts.
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
        await _serve_until_signal(app, address)
        for attempt in worker.attempts.values():
            attempt.stop.set()
        await servers.wait_until_stopped()
        group.cancel_scope.cancel()
