"""A job host as a process that faults can strike."""

import os
import pathlib
import signal
import subprocess
import sys

import anyio

from wisteriawood.platform import settings
from wisteriawood.platform import standins

MODULE = "wisteriawood.platform"
# Time that a host has between the order to stop and the kill.
GRACE_S = 7.0


class HostProcess:
    """The process of one host, started anew when it ends.

    Args:
        name: Name of the host.
        zone: Its availability zone.
        folder: Where its settings and log are kept.

    Attributes:
        front_port: Port on which it serves callers.
        ready_port: Port on which it tells whether it is ready.
        is_wanted: Whether it is started when it does not run.
        starts: How often it was started.
    """

    __slots__ = (
        "_folder",
        "_process",
        "front_port",
        "is_wanted",
        "name",
        "ready_port",
        "starts",
        "zone",
    )

    def __init__(self, *, name: str, zone: str, folder: pathlib.Path):
        self.name = name
        self.zone = zone
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self.front_port = 0
        self.ready_port = 0
        self.is_wanted = True
        self.starts = 0

    def write_settings(self, zones: list[str], store_port: int) -> None:
        """Write the settings file.

        Args:
            zones: All availability zones.
            store_port: Port of the store on loopback.
        """
        data = standins.encode_settings(
            self.name,
            self.zone,
            zones,
            front=f"127.0.0.1:{self.front_port}",
            ready=f"127.0.0.1:{self.ready_port}",
            store=f"127.0.0.1:{store_port}",
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
        """Send a signal if the process runs.

        Args:
            number: The signal.
        """
        if self.is_running():
            self._process.send_signal(number)

    def is_running(self) -> bool:
        """Tell whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def exit_code(self) -> int | None:
        """Return how the process ended; None while it runs."""
        return self._process.poll() if self._process else None

    async def stop(self) -> bool:
        """Stop the process gracefully; return whether it did so in time."""
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            while self.is_running():
                await anyio.sleep(0.05)
            return True
        self.kill()
        return False

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
