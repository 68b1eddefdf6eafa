"""Command that cancels tasks."""

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood import errors
from wisteriawood.links import jobs
from wisteriawood.links import platforms


@base.COMMANDS.register("cancel")
class CancelCommand(base.PlatformCommand):
    """Cancels tasks by id or by label."""

    name = "cancel"
    description = "Cancels tasks; cancelled tasks are not started again."
    arguments = [
        helpers.argument(
            "tasks", "Ids of tasks.", optional=True, multiple=True
        )
    ]
    options = [base.PLATFORM_OPTION, base.OUTPUT_OPTION, base.LABEL_OPTION]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Request the cancellation of the tasks."""
        as_json = self.wants_json()
        task_ids = await self.find_task_ids(platform)
        if not task_ids:
            raise errors.UsageError(
                "no task is selected; give ids of tasks, or a --label "
                "KEY=VALUE that matches tasks"
            )
        await jobs.cancel(platform, task_ids)
        if as_json:
            self.print_json(task_ids)
        else:
            self.line(f"cancelling {len(task_ids)} tasks")
        return 0
