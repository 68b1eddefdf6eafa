"""Command that cancels tasks."""

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.links import jobs
from wisteriawood.links import platforms


@base.COMMANDS.register("cancel")
class CancelCommand(base.PlatformCommand):
    """Cancels tasks."""

    name = "cancel"
    description = "Cancels tasks; they stop and stay stopped."
    arguments = [helpers.argument("tasks", "Ids of tasks.", multiple=True)]
    options = [base.PLATFORM_OPTION]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Ask for the tasks to be cancelled."""
        task_ids = self.argument("tasks")
        await jobs.cancel(platform, task_ids)
        self.line(f"cancelling {len(task_ids)} tasks")
        return 0
