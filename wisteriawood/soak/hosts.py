"""A job host as a process that faults can be injected into."""

import os
import pathlib
import signal
import subprocess
import sys

import anyio

from wisteriawood.platform import settings
from wisteriawood.platform import standins

MODULE = "wisteriawood.platform"
# Time between SIGTERM and SIGKILL.
STOP_TIMEOUT_S = 7.0


class HostProcess:
    """The process of one host.

    Args:
        name: Name of the host.
        zone: Availability zone of the host.
        folder: Folder for its settings and log.

    Attributes:
        away_until_s: Monotonic time before which it is not started again.
        caller_port: Port on which it serves callers.
        internal_port: Port on which it answers other hosts.
        ready_port: Port of its readiness endpoint.
        should_run: Whether it is started whenever it is not running.
        starts: Number of times it was started.
    """

    __slots__ = (
        "_folder",
        "_process",
        "away_until_s",
        "caller_port",
        "internal_port",
        "name",
        "ready_port",
        "should_run",
        "starts",
        "zone",
    )

    def __init__(self, *, name: str, zone: str, folder: pathlib.Path):
        self.name = name
        self.zone = zone
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self.away_until_s = 0.0
        self.caller_port = 0
        self.internal_port = 0
        self.ready_port = 0
        self.should_run = True
        self.starts = 0

    def write_settings(
        self, zones: list[str], store_port: int, hold_max_ms: int
    ) -> None:
        """Write the settings file.

        Args:
            zones: All availability zones.
            store_port: Port of the store on the loopback interface.
            hold_max_ms: Longest lease of a worker.
        """
        data = standins.encode_settings(
            self.name,
            self.zone,
            zones,
            internal_port=self.internal_port,
            front=f"127.0.0.1:{self.caller_port}",
            ready=f"127.0.0.1:{self.ready_port}",
            store=f"127.0.0.1:{store_port}",
            hold_max_ms=hold_max_ms,
        )
        (self._folder / f"{self.name}.json").write_bytes(data)

    def start(self) -> None:
        """Start the process."""
        path = self._folder / f"{self.name}.json"
        self.starts += 1
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", MODULE],
                env=os.environ | {settings.PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running.

        Args:
            number: Signal to send.
        """
        if self.is_running():
            self._process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def exit_code(self) -> int | None:
        """Return the exit code of the process; None while it runs."""
        return self._process.poll() if self._process else None

    async def stop(self) -> bool:
        """Send SIGTERM, and SIGKILL after STOP_TIMEOUT_S.

        Returns:
            Whether the process exited before the timeout.
        """
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while self.is_running():
                await anyio.sleep(0.05)
            return True
        self.kill()
        return False

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
