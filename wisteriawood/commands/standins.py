"""Commands that run stand-ins of the platform, workers and targets."""

import functools

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.contracts import resources
from wisteriawood import errors
from wisteriawood.standins import daemons

_ADDRESS = helpers.option(
    "address", "a", "Address to listen on, as HOST:PORT.", flag=False
)
_NAME = helpers.option("name", "m", "Name of the host.", flag=False)


@base.COMMANDS.register("standin platform")
class PlatformStandinCommand(base.BaseCommand):
    """Runs the stand-in of the platform."""

    name = "standin platform"
    description = "Runs a small stand-in of the platform (demo, tests)."
    options = [_ADDRESS]

    def execute_command(self) -> int | None:
        """Run the stand-in until SIGTERM."""
        anyio.run(
            functools.partial(
                daemons.run_platform, address=self.require("address")
            )
        )
        return 0


@base.COMMANDS.register("standin target")
class TargetStandinCommand(base.BaseCommand):
    """Runs the stand-in of a target."""

    name = "standin target"
    description = "Runs a small stand-in of a target (demo, tests)."
    options = [
        _ADDRESS,
        _NAME,
        helpers.option("slots", None, "Slots.", flag=False, default="8"),
        helpers.option(
            "service-s",
            None,
            "Seconds that each request takes.",
            flag=False,
            default="0.01",
        ),
    ]

    def execute_command(self) -> int | None:
        """Run the stand-in until SIGTERM."""
        anyio.run(
            functools.partial(
                daemons.run_target,
                name=self.require("name"),
                address=self.require("address"),
                slots=self.require_number("slots", int),
                service_s=self.require_number("service-s", float),
            )
        )
        return 0


@base.COMMANDS.register("standin worker")
class WorkerStandinCommand(base.BaseCommand):
    """Runs the stand-in of a worker."""

    name = "standin worker"
    description = "Runs a small stand-in of a worker (demo, tests)."
    options = [
        _ADDRESS,
        _NAME,
        base.PLATFORM_OPTION,
        helpers.option("cores", None, "Cores.", flag=False, default="64"),
        helpers.option(
            "memory-bytes",
            None,
            "Memory in bytes.",
            flag=False,
            default="250000000000",
        ),
        helpers.option(
            "accelerators", None, "Accelerators.", flag=False, default="0"
        ),
        helpers.option(
            "target-ports",
            None,
            "Ports for the targets of its services, separated by commas.",
            flag=False,
            default="",
        ),
    ]

    def execute_command(self) -> int | None:
        """Run the stand-in until SIGTERM."""
        anyio.run(
            functools.partial(
                daemons.run_worker,
                name=self.require("name"),
                address=self.require("address"),
                platform_url=self.require("platform"),
                capacity=resources.Resources(
                    cores=self.require_number("cores", float),
                    memory_bytes=self.require_number("memory-bytes", int),
                    accelerators=self.require_number("accelerators", int),
                ),
                target_ports=self._target_ports(),
            )
        )
        return 0

    def _target_ports(self) -> list[int]:
        parts = self.option("target-ports").split(",")
        if not all(part.isdigit() for part in parts if part):
            raise errors.UsageError(
                "--target-ports takes port numbers separated by commas"
            )
        return [int(part) for part in parts if part]
