"""A small cluster of local processes that communicate over loopback."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import typing

import anyio
from anyio import abc
import httpx

from wisteriawood import errors
from wisteriawood.links import platforms

HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
READY_PERIOD_S = 0.1
STOP_TIMEOUT_S = 20.0
WORKER_CORES = 64.0
WORKER_MEMORY_BYTES = 250 * 10**9
TARGET_PORTS = 20


def free_ports(count: int) -> list[int]:
    """Return ports that are free on the loopback interface.

    Args:
        count: Number of ports.
    """
    sockets = []
    for _number in range(count):
        probe = socket.socket()
        probe.bind((HOST, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


class Daemon:
    """One process of the cluster.

    Args:
        name: Name of the process.
        arguments: Arguments of the interpreter.
        log: File that its output is appended to.
    """

    __slots__ = ("arguments", "log", "name", "process")

    def __init__(self, *, name: str, arguments: list[str], log: pathlib.Path):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.process: abc.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as output:
            self.process = await anyio.open_process(
                [sys.executable, *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> bool:
        """Send SIGTERM, and SIGKILL if the process has not exited in time.

        Returns:
            Whether it exited with status 0 after SIGTERM.
        """
        if self.process is None:
            return True
        self.send_signal(signal.SIGTERM)
        with anyio.move_on_after(STOP_TIMEOUT_S):
            return await self.process.wait() == 0
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        return False


class EntryHostAddresses:
    """Addresses of the entry and scheduler daemons of an entry host.

    Args:
        name: Name of the entry host.
        zone: Availability zone of the entry host.
        ports: Free ports, of which five are used.
    """

    __slots__ = (
        "caller_address",
        "entry_operator_address",
        "entry_peer_address",
        "name",
        "scheduler_operator_address",
        "scheduler_peer_address",
        "zone",
    )

    def __init__(self, *, name: str, zone: str, ports: typing.Iterator[int]):
        self.name = name
        self.zone = zone
        self.caller_address = f"{HOST}:{next(ports)}"
        self.entry_peer_address = f"{HOST}:{next(ports)}"
        self.entry_operator_address = f"{HOST}:{next(ports)}"
        self.scheduler_peer_address = f"{HOST}:{next(ports)}"
        self.scheduler_operator_address = f"{HOST}:{next(ports)}"


class LocalCluster:
    """A platform stand-in, workers and entry hosts as local processes.

    Args:
        folder: Folder for settings, logs and traces.
        zones: Names of the availability zones.
        hosts_per_zone: Number of entry hosts in each zone.
        workers_per_zone: Number of workers in each zone.
        region: Name of the region.
    """

    __slots__ = (
        "_client",
        "_hosts_per_zone",
        "_region",
        "_workers_per_zone",
        "daemons",
        "folder",
        "entry_hosts",
        "platform_url",
        "worker_addresses",
        "zones",
    )

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        zones: list[str],
        hosts_per_zone: int = 2,
        workers_per_zone: int = 2,
        region: str = "region",
    ):
        self.folder = folder
        self.zones = zones
        self.daemons: dict[str, Daemon] = {}
        self.entry_hosts: dict[str, EntryHostAddresses] = {}
        self.worker_addresses: dict[str, str] = {}
        self.platform_url = ""
        self._hosts_per_zone = hosts_per_zone
        self._workers_per_zone = workers_per_zone
        self._region = region
        self._client = httpx.AsyncClient(timeout=2.0, trust_env=False)

    async def start(self) -> None:
        """Start all processes; wait for the platform and the workers.

        Raises:
            LinkError: A process did not answer within READY_TIMEOUT_S.
        """
        workers = self._workers_per_zone * len(self.zones)
        hosts = self._hosts_per_zone * len(self.zones)
        ports = iter(free_ports(1 + workers * (1 + TARGET_PORTS) + hosts * 5))
        address = f"{HOST}:{next(ports)}"
        self.platform_url = f"http://{address}"
        await self._start(
            "platform", ["standin", "platform", "--address", address]
        )
        await self._wait_for(f"{self.platform_url}/counts")
        for zone in self.zones:
            for number in range(1, self._workers_per_zone + 1):
                await self._start_worker(zone, number, ports)
        for address in self.worker_addresses.values():
            await self._wait_for(f"http://{address}/inventory")
        for zone in self.zones:
            for number in range(1, self._hosts_per_zone + 1):
                await self._start_entry_host(zone, number, ports)

    async def _start(self, name: str, arguments: list[str]) -> None:
        daemon = Daemon(
            name=name,
            arguments=["-m", "wisteriawood", *arguments],
            log=self.folder / f"{name.replace('/', '-')}.out",
        )
        self.daemons[name] = daemon
        await daemon.start()

    async def start_python(self, name: str, code: str) -> Daemon:
        """Start a Python interpreter that executes the given code.

        Args:
            name: Name of the process.
            code: Code to execute, as for the option -c.
        """
        daemon = Daemon(
            name=name,
            arguments=["-c", code],
            log=self.folder / f"{name}.out",
        )
        self.daemons[name] = daemon
        await daemon.start()
        return daemon

    async def _start_worker(
        self, zone: str, number: int, ports: typing.Iterator[int]
    ) -> None:
        name = f"worker-{zone}-{number}"
        address = f"{HOST}:{next(ports)}"
        target_ports = [next(ports) for _number in range(TARGET_PORTS)]
        self.worker_addresses[name] = address
        await self._start(
            name,
            [
                *("standin", "worker", "--name", name, "--address", address),
                *("--platform", self.platform_url),
                *("--cores", str(WORKER_CORES)),
                *("--memory-bytes", str(WORKER_MEMORY_BYTES)),
                *("--target-ports", ",".join(map(str, target_ports))),
            ],
        )
        host = {
            "name": name,
            "zone": zone,
            "rack": f"{zone}-rack-{(number + 1) // 2}",
            "address": address,
            "capacity": {
                "cores": WORKER_CORES,
                "memory_bytes": WORKER_MEMORY_BYTES,
            },
        }
        response = await self._client.post(
            f"{self.platform_url}/hosts", json=host
        )
        response.raise_for_status()

    async def _start_entry_host(
        self, zone: str, number: int, ports: typing.Iterator[int]
    ) -> None:
        name = f"{zone}-{number}"
        entry_host = EntryHostAddresses(name=name, zone=zone, ports=ports)
        self.entry_hosts[name] = entry_host
        await self.start_scheduler(name)
        await self.start_entry(name)

    async def start_scheduler(self, name: str) -> None:
        """Start the scheduler daemon of an entry host.

        Args:
            name: Name of the entry host.
        """
        entry_host = self.entry_hosts[name]
        await self._start_daemon(
            "scheduler",
            entry_host,
            {
                "peer_address": entry_host.scheduler_peer_address,
                "operator_address": entry_host.scheduler_operator_address,
                "trace_file": str(self.folder / f"scheduler-{name}.spans"),
            },
        )

    async def start_entry(self, name: str) -> None:
        """Start the entry daemon of an entry host.

        Args:
            name: Name of the entry host.
        """
        entry_host = self.entry_hosts[name]
        await self._start_daemon(
            "entry",
            entry_host,
            {
                "caller_address": entry_host.caller_address,
                "peer_address": entry_host.entry_peer_address,
                "operator_address": entry_host.entry_operator_address,
                "trace_file": str(self.folder / f"entry-{name}.spans"),
            },
        )

    async def _start_daemon(
        self,
        role: str,
        entry_host: EntryHostAddresses,
        settings: dict[str, str],
    ) -> None:
        settings = settings | {
            "name": entry_host.name,
            "zone": entry_host.zone,
            "region": self._region,
            "platform_url": self.platform_url,
            "log_file": str(self.folder / f"{role}-{entry_host.name}.events"),
        }
        path = self.folder / f"{role}-{entry_host.name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        await self._start(f"{role}/{entry_host.name}", [role, str(path)])

    async def _wait_for(self, url: str) -> None:
        with anyio.move_on_after(READY_TIMEOUT_S):
            while True:
                try:
                    response = await self._client.get(url)
                    if response.status_code == 200:
                        return
                except httpx.HTTPError:
                    pass
                await anyio.sleep(READY_PERIOD_S)
        raise errors.LinkClosedError(
            f"{url} did not answer; see the logs in {self.folder}"
        )

    async def wait_until_ready(self, name: str) -> None:
        """Wait until an entry host is ready for requests.

        Args:
            name: Name of the entry host.

        Raises:
            LinkError: It was not ready within READY_TIMEOUT_S.
        """
        address = self.entry_hosts[name].entry_operator_address
        await self._wait_for(f"http://{address}/readyz")

    def platform(self) -> platforms.HttpPlatform:
        """Return a new link to the platform."""
        return platforms.HttpPlatform(url=self.platform_url)

    async def set_platform_faults(self, **faults: typing.Any) -> None:
        """Set the injected faults of the platform stand-in.

        Args:
            **faults: Fields of PlatformFaults; the others get their
                defaults.
        """
        response = await self._client.put(
            f"{self.platform_url}/faults", json=faults
        )
        response.raise_for_status()

    async def get(self, url: str) -> typing.Any:
        """Return the JSON value that a stand-in or daemon serves at a URL."""
        response = await self._client.get(url)
        response.raise_for_status()
        return response.json()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL.

        Args:
            name: Name of the process.
        """
        self.daemons[name].send_signal(signal.SIGKILL)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP.

        Args:
            name: Name of the process.
        """
        self.daemons[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process with SIGCONT.

        Args:
            name: Name of the process.
        """
        self.daemons[name].send_signal(signal.SIGCONT)

    async def stop_entry_hosts(self) -> list[str]:
        """Stop the daemons of all entry hosts concurrently.

        Returns:
            Names of the daemons that did not exit cleanly.
        """
        return await self._stop_all(
            [name for name in self.daemons if "/" in name]
        )

    async def stop(self) -> None:
        """Stop all processes that are running."""
        with anyio.CancelScope(shield=True):
            await self._stop_all(list(self.daemons))
            await self._client.aclose()

    async def _stop_all(self, names: list[str]) -> list[str]:
        unclean: list[str] = []

        async def _stop(name: str) -> None:
            if not await self.daemons[name].stop():
                unclean.append(name)

        async with anyio.create_task_group() as group:
            for name in names:
                self.thaw(name)
                group.start_soon(_stop, name)
        return sorted(unclean)
