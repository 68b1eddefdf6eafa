"""Command that shows the state of tasks or an overview."""

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.contracts import tasks
from wisteriawood.links import jobs
from wisteriawood.links import overviews
from wisteriawood.links import platforms


@base.COMMANDS.register("status")
class StatusCommand(base.PlatformCommand):
    """Shows the state of tasks; without ids, an overview of all zones."""

    name = "status"
    description = "Shows the state of tasks, or an overview of all zones."
    arguments = [
        helpers.argument(
            "tasks", "Ids of tasks.", optional=True, multiple=True
        )
    ]
    options = [base.PLATFORM_OPTION, base.OUTPUT_OPTION]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Print the state of the tasks, or the overview."""
        as_json = self.wants_json()
        names = self.argument("tasks")
        if not names:
            overview = await overviews.read(platform)
            if as_json:
                self.print_json(overview)
            else:
                self._print_overview(overview)
            return 0
        found = [await jobs.find(platform, name) for name in names]
        if as_json:
            self.print_json(found)
        else:
            self._print_tasks(found)
        return 0

    def _print_tasks(self, found: list[tasks.Task]) -> None:
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

    def _print_overview(self, overview: overviews.Overview) -> None:
        self.print_table(
            ["zone", "entry", "sched", "workers", "targets", "racks"]
            + ["waiting", "placed"],
            [
                [
                    zone.zone,
                    str(zone.entry_hosts),
                    str(zone.schedulers),
                    str(zone.workers),
                    str(zone.targets),
                    str(zone.racks_held),
                    str(zone.waiting),
                    str(zone.placed),
                ]
                for zone in overview.zones
            ],
        )
        self._print_hosts(overview)
        for reason, count in overview.reasons.items():
            self.line(f"{count} tasks wait: {reason}")
        for order in overview.drained:
            self.line(f"draining: {order.kind} {order.name}")

    def _print_hosts(self, overview: overviews.Overview) -> None:
        self.line("")
        self.print_table(
            ["daemon", "zone", "state", "config", "holds racks"],
            [
                [
                    f"{member.role}/{member.name}",
                    member.zone,
                    member.state.value,
                    str(member.config_version),
                    ", ".join(
                        rack.rack
                        for rack in overview.racks
                        if rack.incarnation == member.incarnation
                    ),
                ]
                for member in overview.members
            ],
        )
        self.line("")
        drained = {order.name for order in overview.drained}
        self.print_table(
            ["host", "kind", "zone", "rack", "service", "state"],
            [
                [
                    host.name,
                    host.kind.value,
                    host.zone,
                    host.rack,
                    f"{host.team}/{host.service}" if host.service else "",
                    _to_state(host, drained),
                ]
                for host in overview.workers + overview.targets
            ],
        )
        self.line("")


def _to_state(host: platforms.Host, drained: set[str]) -> str:
    if host.leaving:
        return "leaving"
    return "draining" if host.name in drained else "live"
