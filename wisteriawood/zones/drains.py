"""Drain requests of operators for the hosts of one kind."""

import anyio

from wisteriawood.contracts import drains
from wisteriawood.contracts import keys
from wisteriawood import errors
from wisteriawood.links import platforms
from wisteriawood.telemetry import events

POLL_PERIOD_S = 2.0

_LOG = events.Logger(name=__name__)


class Drains:
    """The drain requests, as last read from the platform.

    Args:
        platform: Link to the platform.
        kind: Kind of the hosts.
        name: Name of the only host to follow; empty for all hosts.
    """

    __slots__ = ("_names", "_platform", "_prefix")

    def __init__(
        self,
        *,
        platform: platforms.Platform,
        kind: drains.DrainKind,
        name: str = "",
    ):
        self._platform = platform
        self._prefix = keys.drains(kind) + name
        self._names: frozenset[str] = frozenset()

    def is_requested(self, name: str) -> bool:
        """Return whether a drain of a host has been requested.

        Args:
            name: Name of the host.
        """
        return name in self._names

    async def run(self) -> None:
        """Poll the requests until cancelled; keep them if a read fails."""
        is_failing = False
        while True:
            try:
                await self.poll()
                is_failing = False
            except errors.PlatformError as exc:
                if not is_failing:
                    _LOG.log(events.DRAINS_UNREAD, cause=str(exc))
                is_failing = True
            await anyio.sleep(POLL_PERIOD_S)

    async def poll(self) -> None:
        """Read the requests once.

        Raises:
            PlatformError: The table could not be read.
        """
        found = await platforms.scan_all(self._platform, self._prefix)
        names = frozenset(row.key.rsplit("/", 1)[1] for row in found)
        for name in sorted(names - self._names):
            _LOG.log(events.HOST_DRAINED, name=name)
        self._names = names
