"""Command that runs the entry daemon."""

import functools

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.config import settings
from wisteriawood.machines import daemons


@base.COMMANDS.register("entry")
class EntryCommand(base.BaseCommand):
    """Runs the entry daemon until SIGTERM."""

    name = "entry"
    description = "Runs the entry daemon until SIGTERM."
    arguments = [helpers.argument("settings", "Settings file, in JSON.")]

    def execute_command(self) -> int | None:
        """Run the daemon."""
        config = settings.load(file=self.argument("settings"))
        anyio.run(functools.partial(daemons.run_entry, config))
        return 0
