"""Command that runs the scheduler daemon."""

import functools

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.config import settings
from wisteriawood.machines import daemons


@base.COMMANDS.register("scheduler")
class SchedulerCommand(base.BaseCommand):
    """Runs the scheduler daemon until SIGTERM."""

    name = "scheduler"
    description = "Runs the scheduler daemon until SIGTERM."
    arguments = [helpers.argument("settings", "Settings file, in JSON.")]

    def execute_command(self) -> int | None:
        """Run the daemon."""
        config = settings.load(file=self.argument("settings"))
        anyio.run(functools.partial(daemons.run_scheduler, config))
        return 0
