"""Command that drains an entry host or a worker."""

import os

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.contracts import drains as drain_contracts
from wisteriawood import errors
from wisteriawood.links import drains
from wisteriawood.links import platforms


@base.COMMANDS.register("drain")
class DrainCommand(base.PlatformCommand):
    """Drains an entry host or a worker, or ends its drain."""

    name = "drain"
    description = "Drains an entry host or a worker."
    arguments = [
        helpers.argument("kind", "Kind of the host: entry or worker."),
        helpers.argument("name", "Name of the host."),
    ]
    options = [
        base.PLATFORM_OPTION,
        helpers.option("undo", None, "End the drain of the host."),
    ]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Write the request to drain, or delete it."""
        kinds = [kind.value for kind in drain_contracts.DrainKind]
        if self.argument("kind") not in kinds:
            raise errors.UsageError(
                f"the kind of the host must be one of {', '.join(kinds)}"
            )
        kind = drain_contracts.DrainKind(self.argument("kind"))
        name = self.argument("name")
        if self.option("undo"):
            await drains.withdraw_drain(platform, kind, name)
            self.line(f"{kind} {name} is taken back into use")
            return 0
        await drains.request_drain(
            platform, kind, name, author=os.environ.get("USER", "")
        )
        self.line(
            f"{kind} {name} takes nothing new within seconds; status shows "
            "when it is empty"
        )
        return 0
