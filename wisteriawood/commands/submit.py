"""Command that submits tasks."""

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.config import settings
from wisteriawood.config import tasks
from wisteriawood.links import jobs
from wisteriawood.links import platforms


@base.COMMANDS.register("submit")
class SubmitCommand(base.PlatformCommand):
    """Submits the tasks of a file, all or none."""

    name = "submit"
    description = "Submits the tasks of a JSON file, all or none."
    arguments = [helpers.argument("file", "Task file, in JSON.")]
    options = [
        base.PLATFORM_OPTION,
        helpers.option(
            "zone", "z", "Availability zone for the tasks.", flag=False
        ),
    ]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Submit the tasks."""
        file = self.argument("file")
        value = settings.read_json(file=file)
        specs = tasks.parse(file=file, value=value)
        zone = self.require("zone")
        await jobs.submit(platform, specs, zone=zone)
        self.line(f"submitted {len(specs)} tasks")
        return 0
