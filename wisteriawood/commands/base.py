"""Base classes, common options and the registry of the commands."""

import functools
import json
import typing

import anyio
from cleo.commands import command
from cleo import helpers
from cleo.io.inputs import option

from wisteriawood.commands import tables
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import jobs
from wisteriawood.links import platforms
from wisteriawood.policies import registry

COMMANDS: registry.Registry[type[command.Command]] = registry.Registry(
    kind="command"
)

Number = typing.TypeVar("Number", int, float)

PLATFORM_OPTION = helpers.option(
    "platform",
    "p",
    "Address of the platform, as http://HOST:PORT.",
    flag=False,
)
OUTPUT_OPTION = helpers.option(
    "output",
    "o",
    "Format of the output: text or json.",
    flag=False,
    default="text",
)
LABEL_OPTION = helpers.option(
    "label",
    "l",
    "Select tasks with this label, as KEY=VALUE; repeat to require several.",
    flag=False,
    multiple=True,
)
RECORDS_OPTION = helpers.option(
    "records",
    "r",
    "File with traces or events of a daemon, or a folder of such files.",
    flag=False,
    multiple=True,
)


class BaseCommand(command.Command):
    """A command that prints errors as one line and sets the exit status."""

    arguments: typing.ClassVar[list] = []
    options: typing.ClassVar[list[option.Option]] = []

    def handle(self) -> int:
        """Run the command; called by cleo.

        Returns:
            The exit status.
        """
        try:
            return self.execute_command() or 0
        except errors.WisteriawoodError as exc:
            self.line_error(f"error: {exc}", "error")
            return exc.exit_code

    def execute_command(self) -> int | None:
        """Run the command and return its exit status; None means 0.

        Raises:
            WisteriawoodError: The command failed.
        """
        raise NotImplementedError

    def wants_json(self) -> bool:
        """Return whether the output is requested as JSON.

        Raises:
            UsageError: The option has a value other than text or json.
        """
        output_format = self.option("output")
        if output_format not in ("text", "json"):
            raise errors.UsageError("--output takes text or json")
        return output_format == "json"

    def require(self, name: str) -> str:
        """Return the value of a required option.

        Args:
            name: Name of the option.

        Raises:
            UsageError: The option is missing.
        """
        value = self.option(name)
        if not value:
            raise errors.UsageError(f"the option --{name} is required")
        return value

    def require_number(self, name: str, kind: type[Number]) -> Number:
        """Return the value of a required option as a number.

        Args:
            name: Name of the option.
            kind: Type of the number, int or float.

        Raises:
            UsageError: The value is not such a number, or is negative.
        """
        text = self.require(name)
        try:
            value = kind(text)
        except ValueError:
            value = kind(-1)
        if not value >= 0:
            raise errors.UsageError(
                f"--{name} takes a number of at least 0, found {text!r}"
            )
        return value

    def print_json(self, record: typing.Any) -> None:
        """Print a value or record as JSON."""
        value = rows.to_value(record)
        self.line(json.dumps(value, indent=2))

    def print_table(self, headers: list[str], lines: list[list[str]]) -> None:
        """Print a table within the width of a terminal."""
        for line in tables.lay_out(headers, lines):
            self.line(line, style=None)


class PlatformCommand(BaseCommand):
    """A command that needs a connection to the platform."""

    def execute_command(self) -> int | None:
        """Connect to the platform and run the command with the connection."""
        url = self.option("platform")
        if not url:
            raise errors.UsageError(
                "give the platform's address: --platform http://HOST:PORT"
            )
        return anyio.run(functools.partial(self._run, url))

    async def _run(self, url: str) -> int | None:
        platform = platforms.HttpPlatform(url=url)
        try:
            return await self.run_on(platform)
        finally:
            await platform.aclose()

    async def find_task_ids(
        self, platform: platforms.HttpPlatform
    ) -> list[str]:
        """Return the ids in the arguments and of the tasks with all labels.

        Args:
            platform: Link to the platform.

        Raises:
            UsageError: A label does not have the form KEY=VALUE.
        """
        task_ids = list(self.argument("tasks") or [])
        pairs = [label.partition("=") for label in self.option("label") or []]
        if any(not key or not separator for key, separator, _value in pairs):
            raise errors.UsageError("--label takes KEY=VALUE")
        labels = {key: value for key, _separator, value in pairs}
        if labels:
            found = await jobs.find_labelled(platform, labels)
            task_ids.extend(task.spec.id for task in found)
        return task_ids

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Run the command and return its exit status; None means 0.

        Args:
            platform: Link to the platform.

        Raises:
            WisteriawoodError: The command failed.
        """
        raise NotImplementedError
