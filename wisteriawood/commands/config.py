"""Commands that show and change the configuration."""

import os

from cleo import helpers

from wisteriawood.commands import base
from wisteriawood.commands import times
from wisteriawood.config import configuration
from wisteriawood.config import configuration_patches as patches
from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import configurations
from wisteriawood.links import platforms

FILE_ARGUMENT = helpers.argument("file", "Configuration file, in JSON.")


@base.COMMANDS.register("config show")
class ShowCommand(base.PlatformCommand):
    """Shows the configuration in the format of config apply."""

    name = "config show"
    description = "Shows the configuration in the format of config apply."
    options = [
        base.PLATFORM_OPTION,
        helpers.option(
            "at", None, "Version to show; by default the newest.", flag=False
        ),
    ]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Print the configuration document with its version."""
        if self.option("at") is None:
            snapshot = await configurations.read_newest(platform)
        else:
            snapshot = await configurations.read_version(
                platform, self.require_number("at", int)
            )
        document = {"version": snapshot.version} | snapshot.document
        self.line(configuration.to_text(document))
        return 0


@base.COMMANDS.register("config diff")
class DiffCommand(base.PlatformCommand):
    """Shows what a file would change."""

    name = "config diff"
    description = "Shows what a file would change if it were applied."
    arguments = [FILE_ARGUMENT]
    options = [base.PLATFORM_OPTION, base.OUTPUT_OPTION]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Print the differences from the newest version."""
        as_json = self.wants_json()
        document = configuration.read_file(file=self.argument("file"))
        document.pop("version", None)
        newest = await configurations.read_newest(platform)
        found = patches.differences(newest.document, document)
        if as_json:
            self.print_json(found)
            return 0
        for difference in found:
            self.line(difference.to_text())
        if not found:
            self.line(f"no difference to version {newest.version}")
        return 0


@base.COMMANDS.register("config apply")
class ApplyCommand(base.PlatformCommand):
    """Applies a file if it is based on the newest version."""

    name = "config apply"
    description = "Applies a configuration file; exit status 3 on a conflict."
    arguments = [FILE_ARGUMENT]
    options = [
        base.PLATFORM_OPTION,
        base.OUTPUT_OPTION,
        helpers.option(
            "base",
            None,
            "Version that the change is based on; by default the one in the "
            "file.",
            flag=False,
        ),
        helpers.option("note", None, "Reason for the change.", flag=False),
        helpers.option(
            "author",
            None,
            "Author of the change; by default the user.",
            flag=False,
        ),
    ]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Apply the file."""
        as_json = self.wants_json()
        document = configuration.read_file(file=self.argument("file"))
        base_version = document.pop("version", None)
        if self.option("base") is not None:
            base_version = self.require_number("base", int)
        if base_version is None:
            raise errors.UsageError(
                "give --base VERSION, or start from config show, which "
                "writes the version into the file"
            )
        version = await configurations.apply(
            platform,
            document,
            base=base_version,
            author=self.option("author") or os.environ.get("USER", ""),
            note=self.option("note") or "",
        )
        if as_json:
            self.print_json(
                {"version": version, "changed": version != base_version}
            )
        elif version == base_version:
            self.line(f"version {version} is the same; nothing to apply")
        else:
            self.line(
                f"accepted as version {version}; config status shows which "
                "hosts have it"
            )
        return 0


@base.COMMANDS.register("config history")
class HistoryCommand(base.PlatformCommand):
    """Shows who changed the configuration, when and why."""

    name = "config history"
    description = "Shows who changed the configuration, when and why."
    options = [
        base.PLATFORM_OPTION,
        base.OUTPUT_OPTION,
        helpers.option(
            "limit",
            None,
            "Maximum number of changes to show.",
            flag=False,
            default="20",
        ),
    ]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Print the latest changes, newest first."""
        as_json = self.wants_json()
        limit = self.require_number("limit", int)
        head, _row_version = await configurations.read_head(platform)
        changes = await configurations.read_changes(
            platform, after=max(0, head.version - limit), limit=limit
        )
        changes.reverse()
        if as_json:
            self.print_json(changes)
            return 0
        self.print_table(
            ["version", "applied (UTC)", "author", "note"],
            [
                [
                    str(change.version),
                    times.to_text(change.applied_unix_s),
                    change.author,
                    change.note,
                ]
                for change in changes
            ],
        )
        return 0


@base.COMMANDS.register("config status")
class StatusCommand(base.PlatformCommand):
    """Shows which daemon uses which version of the configuration."""

    name = "config status"
    description = "Shows which daemon uses which version."
    options = [base.PLATFORM_OPTION, base.OUTPUT_OPTION]

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Print one line for each daemon."""
        as_json = self.wants_json()
        head, _row_version = await configurations.read_head(platform)
        found = await platforms.scan_all(platform, keys.members())
        members = [
            rows.from_value(row.value, holdings.MemberRow) for row in found
        ]
        if as_json:
            self.print_json({"newest": head.version, "members": members})
            return 0
        peer_versions = {
            name: version
            for member in members
            for name, version in member.followers.items()
        }
        self.line(f"newest version: {head.version}")
        self.print_table(
            ["daemon", "zone", "version", "renewed (UTC)", "remark"],
            [
                _to_line(member, peer_versions, head.version)
                for member in members
            ],
        )
        return 0


def _to_line(
    member: holdings.MemberRow, peer_versions: dict[str, int], newest: int
) -> list[str]:
    name = f"{member.role}/{member.name}"
    version = max(
        member.config_version, peer_versions.get(name, member.config_version)
    )
    remark = "" if member.state == holdings.HostState.LIVE else member.state
    if name in peer_versions:
        remark = "cut off, follows peers"
    elif version < newest:
        remark = remark or "behind"
    return [
        name,
        member.zone,
        str(version) if version >= 0 else "none",
        times.to_text(member.renewed_unix_s),
        remark,
    ]
