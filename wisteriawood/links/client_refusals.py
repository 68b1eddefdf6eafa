"""Counts the clients that a server refuses, and logs when that begins."""

import typing

import anyio

from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Time without a refusal after which they have ended.
CALM_S = 5.0
BUDGET = "budget"
CONNECTIONS = "connections"
DESCRIPTORS = "descriptors"
_EVENTS = {
    BUDGET: job_events.BODIES_REFUSED,
    CONNECTIONS: job_events.CONNECTIONS_CLOSED,
    DESCRIPTORS: job_events.CONNECTIONS_CLOSED,
}


class ClientRefusals:
    """Refusals of clients by reason.

    A client is not logged: there is one event when the refusals for a reason
    begin, and one with their number when they have ended.

    Args:
        count: Counts a refusal in the metrics, from its reason.
    """

    __slots__ = ("_active", "_changed", "_count", "_last_at_s")

    def __init__(self, *, count: typing.Callable[[str], None]):
        self._count = count
        # Refusals by reason, and the times of the last ones.
        self._active: dict[str, int] = {}
        self._last_at_s: dict[str, float] = {}
        self._changed = anyio.Event()

    def record(self, reason: str) -> None:
        """Record a refusal.

        Args:
            reason: Why a client was refused.
        """
        self._count(reason)
        self._last_at_s[reason] = anyio.current_time()
        if reason not in self._active:
            self._log(reason, is_over=False, refused=1)
            self._changed.set()
        self._active[reason] = self._active.get(reason, 0) + 1

    async def run(self) -> None:
        """Log the ends until cancelled."""
        while True:
            self._changed = anyio.Event()
            if not self._active:
                await self._changed.wait()
            await anyio.sleep(CALM_S)
            calm_since_s = anyio.current_time() - CALM_S
            for reason, refused in list(self._active.items()):
                if self._last_at_s[reason] <= calm_since_s:
                    del self._active[reason]
                    self._log(reason, is_over=True, refused=refused)

    def _log(self, reason: str, *, is_over: bool, refused: int) -> None:
        event = _EVENTS.get(reason, job_events.CLIENTS_REFUSED)
        _LOG.log(event, reason=reason, is_over=is_over, refused=refused)
