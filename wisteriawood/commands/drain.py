"""Command that drains a host."""

import os

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.contracts import drains as drain_contracts
from wisteriawood import errors
from wisteriawood.links import drains
from wisteriawood.links import platforms


@base.COMMANDS.register("drain")
class DrainCommand(base.PlatformCommand):
    """Takes an entry host or a worker out of use, or back into use."""

    name = "drain"
    description = "Takes an entry host or a worker out of use."
    arguments = [
        helpers.argument("kind", "entry or worker."),
        helpers.argument("name", "Name of the host."),
    ]
    options = [
        base.PLATFORM_OPTION,
        helpers.option("undo", None, "Take it back into use."),
    ]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Write the order, or take it back."""
        kinds = [kind.value for kind in drain_contracts.DrainKind]
        if self.argument("kind") not in kinds:
            raise errors.UsageError(f"give one of {', '.join(kinds)}")
        kind = drain_contracts.DrainKind(self.argument("kind"))
        name = self.argument("name")
        if self.option("undo"):
            await drains.undo(platform, kind, name)
            self.line(f"{kind} {name} is taken back into use")
            return 0
        await drains.order(
            platform, kind, name, author=os.environ.get("USER", "")
        )
        self.line(
            f"{kind} {name} takes nothing new within seconds; status shows "
            "when it is empty"
        )
        return 0
