"""Command that shows tasks."""

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.links import jobs
from wisteriawood.links import platforms


@base.COMMANDS.register("status")
class StatusCommand(base.PlatformCommand):
    """Shows the state of tasks."""

    name = "status"
    description = "Shows the state of tasks."
    arguments = [helpers.argument("tasks", "Ids of tasks.", multiple=True)]
    options = [base.PLATFORM_OPTION, base.OUTPUT_OPTION]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Print the state of the tasks."""
        as_json = self.wants_json()
        found = [
            await jobs.find(platform, task_id)
            for task_id in self.argument("tasks")
        ]
        if as_json:
            self.print_json(found)
            return 0
        self.print_table(
            ["task", "state", "attempt", "worker", "reason"],
            [
                [
                    task.spec.id,
                    task.state.value,
                    str(task.attempt),
                    task.worker,
                    task.reason,
                ]
                for task in found
            ],
        )
        return 0
