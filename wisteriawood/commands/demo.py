"""Command that runs a small cluster on this machine as a demo."""

import functools
import pathlib

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood import errors
from wisteriawood.standins import demos


@base.COMMANDS.register("demo")
class DemoCommand(base.BaseCommand):
    """Runs a small cluster under load and failures, then exits."""

    name = "demo"
    description = "Runs a small cluster under load and failures."
    options = [
        helpers.option(
            "team",
            "t",
            "Team whose workload runs.",
            flag=False,
            default="vitrinenklima",
        ),
        helpers.option(
            "folder",
            "f",
            "Folder for settings, logs and traces.",
            flag=False,
            default="run",
        ),
    ]

    def execute_command(self) -> int | None:
        """Run the demo; return 0 if all invariants held, else 1."""
        team = self.option("team")
        if team not in demos.TEAMS:
            raise errors.UsageError(
                f"--team takes {' or '.join(sorted(demos.TEAMS))}"
            )
        folder = pathlib.Path(self.require("folder")).absolute()
        folder.mkdir(parents=True, exist_ok=True)
        for old_file in folder.iterdir():
            if old_file.suffix in (".events", ".json", ".out", ".spans"):
                old_file.unlink()
        all_held = anyio.run(
            functools.partial(
                demos.run, team=team, say=self.line, folder=folder
            )
        )
        return 0 if all_held else 1
