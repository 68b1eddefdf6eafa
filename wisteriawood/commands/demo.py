"""Command that shows a small cluster on this machine."""

import functools
import pathlib

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood import errors
from wisteriawood.standins import demos


@base.COMMANDS.register("demo")
class DemoCommand(base.BaseCommand):
    """Shows a small cluster under load and failures; ends by itself."""

    name = "demo"
    description = "Shows a small cluster under load and failures."
    options = [
        helpers.option(
            "team",
            "t",
            "Team whose world is shown.",
            flag=False,
            default="vitrinenklima",
        ),
        helpers.option(
            "folder",
            "f",
            "Folder that keeps settings, logs and traces.",
            flag=False,
            default="run",
        ),
    ]

    def execute_command(self) -> int | None:
        """Run the demo; the status says whether all invariants held."""
        team = self.option("team")
        if team not in demos.TEAMS:
            raise errors.UsageError(
                f"--team takes {' or '.join(sorted(demos.TEAMS))}"
            )
        folder = pathlib.Path(self.require("folder")).absolute()
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.iterdir():
            if old.suffix in (".events", ".json", ".out", ".spans"):
                old.unlink()
        held = anyio.run(
            functools.partial(
                demos.run, team=team, say=self.line, folder=folder
            )
        )
        return 0 if held else 1
