"""What all commands share: errors, output and the registry."""

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
    "Form of the output: text or json.",
    flag=False,
    default="text",
)
LABEL_OPTION = helpers.option(
    "label",
    "l",
    "Tasks that have this label, as KEY=VALUE; all of several.",
    flag=False,
    multiple=True,
)
RECORDS_OPTION = helpers.option(
    "records",
    "r",
    "File of traces or events of a daemon, or a folder of them.",
    flag=False,
    multiple=True,
)


class BaseCommand(command.Command):
    """A command that reports errors in one line with an exit status."""

    arguments: typing.ClassVar[list] = []
    options: typing.ClassVar[list[option.Option]] = []

    def handle(self) -> int:
        """Run the command; called by the library.

        Returns:
            The exit status.
        """
        try:
            return self.execute_command() or 0
        except errors.WisteriawoodError as exc:
            self.line_error(f"error: {exc}", "error")
            return exc.exit_code

    def execute_command(self) -> int | None:
        """Do what the command is for.

        Raises:
            WisteriawoodError: It could not be done.
        """
        raise NotImplementedError

    def wants_json(self) -> bool:
        """Tell whether the output is to be JSON.

        Raises:
            UsageError: The option has another value.
        """
        form = self.option("output")
        if form not in ("text", "json"):
            raise errors.UsageError("--output takes text or json")
        return form == "json"

    def require(self, name: str) -> str:
        """Return the value of an option that must be given.

        Args:
            name: Name of the option.

        Raises:
            UsageError: It was not given.
        """
        value = self.option(name)
        if not value:
            raise errors.UsageError(f"give --{name}")
        return value

    def number(self, name: str, kind: type[Number]) -> Number:
        """Return the value of an option as a number.

        Args:
            name: Name of the option.
            kind: int or float.

        Raises:
            UsageError: It is no such number, or below 0.
        """
        text = self.require(name)
        try:
            value = kind(text)
        except ValueError:
            value = kind(-1)
        if not value >= 0:
            raise errors.UsageError(
                f"--{name} takes a number of 0 or more, found {text!r}"
            )
        return value

    def print_json(self, record: typing.Any) -> None:
        """Print a record as JSON."""
        value = rows.to_value(record)
        self.line(json.dumps(value, indent=2))

    def print_table(self, headers: list[str], lines: list[list[str]]) -> None:
        """Print a table within the width of a terminal."""
        for line in tables.lay_out(headers, lines):
            self.line(line, style=None)


class PlatformCommand(BaseCommand):
    """A command that talks to the platform."""

    def execute_command(self) -> int | None:
        """Open the platform and run the command on it."""
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
        """Return the ids of the tasks named, and of those with the labels.

        Args:
            platform: Link to the platform.

        Raises:
            UsageError: A label is no KEY=VALUE.
        """
        task_ids = list(self.argument("tasks") or [])
        pairs = [label.partition("=") for label in self.option("label") or []]
        if any(not key or not is_pair for key, is_pair, _value in pairs):
            raise errors.UsageError("--label takes KEY=VALUE")
        labels = {key: value for key, _is, value in pairs}
        if labels:
            found = await jobs.find_labelled(platform, labels)
            task_ids.extend(task.spec.id for task in found)
        return task_ids

    async def run_on(self, platform: platforms.HttpPlatform) -> int | None:
        """Do what the command is for.

        Args:
            platform: Link to the platform.

        Raises:
            WisteriawoodError: It could not be done.
        """
        raise NotImplementedError
