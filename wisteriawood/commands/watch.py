"""Command that shows the progress of tasks until all have ended."""

import collections

import anyio
from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.contracts import tasks
from wisteriawood import errors
from wisteriawood.links import jobs
from wisteriawood.links import platforms

BAR_CHARS = 30


def to_progress(found: list[tasks.Task]) -> str:
    """Return the progress of tasks as one line of text."""
    counts = collections.Counter(task.state.value for task in found)
    ended = sum(task.state in tasks.ENDED_STATES for task in found)
    filled_chars = BAR_CHARS * ended // max(1, len(found))
    state_counts = ", ".join(
        f"{n} {state}" for state, n in sorted(counts.items())
    )
    bar = "#" * filled_chars + "." * (BAR_CHARS - filled_chars)
    return f"[{bar}] {ended}/{len(found)} {state_counts}"


@base.COMMANDS.register("watch")
class WatchCommand(base.PlatformCommand):
    """Shows live progress of tasks until all have ended."""

    name = "watch"
    description = "Shows live progress of tasks until all have ended."
    arguments = [
        helpers.argument(
            "tasks", "Ids of tasks.", optional=True, multiple=True
        )
    ]
    options = [
        base.PLATFORM_OPTION,
        base.OUTPUT_OPTION,
        base.LABEL_OPTION,
        helpers.option(
            "period-s",
            None,
            "Seconds between two queries.",
            flag=False,
            default="1",
        ),
    ]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Print the progress whenever it has changed."""
        as_json = self.wants_json()
        period_s = max(0.1, self.require_number("period-s", float))
        task_ids = await self.find_task_ids(platform)
        if not task_ids:
            raise errors.UsageError(
                "no task is selected; give ids of tasks, or a --label "
                "KEY=VALUE that matches tasks"
            )
        last_line = ""
        while True:
            found = await self._find_tasks(platform, task_ids)
            line = to_progress(found)
            if found and line != last_line and not as_json:
                self.line(line)
            last_line = line
            if found and all(t.state in tasks.ENDED_STATES for t in found):
                break
            await anyio.sleep(period_s)
        if as_json:
            self.print_json(found)
        all_finished = all(t.state == tasks.TaskState.FINISHED for t in found)
        return 0 if all_finished else errors.WisteriawoodError.exit_code

    async def _find_tasks(
        self, platform: platforms.HttpPlatform, task_ids: list[str]
    ) -> list[tasks.Task]:
        try:
            return [await jobs.find(platform, name) for name in task_ids]
        except errors.PlatformError as exc:
            self.line_error(f"{exc}; retrying", "error")
            return []
