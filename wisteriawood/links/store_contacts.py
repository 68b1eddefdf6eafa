"""What this host knows about its connection to the store."""

import enum
import math
import typing

import anyio

from wisteriawood import errors
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
_Result = typing.TypeVar("_Result")
# Time without an answer to any call after which a failed call shows that the
# store is silent.
SILENCE_S = 0.7
# Time between two tries of the feeds of a host while the store is silent.
PROBE_PERIOD_S = 0.4


class Activity(enum.StrEnum):
    """What a feed is doing, for logs."""

    READ = "read of the table"
    AUDIT = "further read of the table"
    POLL = "poll"
    PAUSE = "pause between polls"
    RETRY = "delay before the next try"


class FollowedTable(typing.Protocol):
    """A feed of a table of the store.

    Attributes:
        activity: What the feed is doing.
        activity_since_s: Monotonic time since which it is doing it.
        failures: Number of reads and polls that have failed since the last
            answer.
        table: The table.
    """

    activity: Activity
    activity_since_s: float
    failures: int
    table: str

    def age_s(self) -> float:
        """Return the age of the newest confirmed read of the table."""

    def max_age_s(self) -> float:
        """Return the age that it should not exceed while the store answers."""


class _Call:
    """A call to the store that is under way.

    Args:
        sent_at_s: Monotonic time at which it was sent.
        wait_s: For how long the store may wait before it answers.
    """

    __slots__ = ("scope", "sent_at_s", "wait_s")

    def __init__(self, *, sent_at_s: float, wait_s: float):
        self.scope = anyio.CancelScope()
        self.sent_at_s = sent_at_s
        self.wait_s = wait_s

    def due_at_s(self) -> float:
        """Return the monotonic time by which the store should answer."""
        return self.sent_at_s + self.wait_s


class StoreContact:
    """Whether the store answers this host, as all its calls show together.

    The first answer after a silence ends the delays of all feeds, and the
    calls that were sent before it: the store has not received them.

    Attributes:
        feeds: The feeds that run.
    """

    __slots__ = (
        "_answered_at_s",
        "_calls",
        "_next_probe_at_s",
        "_returned",
        "_silent_since_s",
        "feeds",
    )

    def __init__(self) -> None:
        self._answered_at_s = -math.inf
        self._calls: set[_Call] = set()
        self._next_probe_at_s = 0.0
        self._returned = anyio.Event()
        # Monotonic time of the last answer before a silence.
        self._silent_since_s: float | None = None
        self.feeds: list[FollowedTable] = []

    async def make_call(
        self,
        call: typing.Callable[[], typing.Awaitable[_Result]],
        *,
        wait_s: float = 0.0,
        lost: type[errors.PlatformError],
    ) -> _Result:
        """Make a call, and end it once it is known to be lost.

        Args:
            call: Makes the call.
            wait_s: For how long the store may wait before it answers.
            lost: Error to raise for a call that is lost.
        """
        pending = _Call(sent_at_s=anyio.current_time(), wait_s=wait_s)
        self._calls.add(pending)
        try:
            with pending.scope:
                result = await call()
                self._record_answer(pending)
                return result
        except (
            errors.PlatformUnavailableError,
            errors.TransactionUnknownError,
        ):
            self._record_failure(pending)
            raise
        except errors.PlatformError:
            self._record_answer(pending)
            raise
        finally:
            self._calls.discard(pending)
        raise lost("the store was silent, and has answered a later call")

    def is_silent(self) -> bool:
        """Return whether the store answers no call of this host."""
        return self._silent_since_s is not None

    def _record_answer(self, call: _Call) -> None:
        now_s = anyio.current_time()
        self._answered_at_s = now_s
        if self._silent_since_s is None:
            return
        _LOG.log(
            job_events.STORE_RETURNED,
            silent_s=round(now_s - self._silent_since_s, 3),
            lost_calls=len(self._calls) - 1,
        )
        self._silent_since_s = None
        self._next_probe_at_s = 0.0
        self._returned.set()
        self._returned = anyio.Event()
        # The answer to a poll that waited shows nothing about its beginning.
        shown_at_s = call.sent_at_s
        if call.wait_s:
            shown_at_s = max(shown_at_s, now_s - SILENCE_S)
        for other in self._calls - {call}:
            if other.sent_at_s < shown_at_s:
                other.scope.cancel()

    def _record_failure(self, call: _Call) -> None:
        if self._silent_since_s is not None:
            return
        now_s = anyio.current_time()
        since_s = min(call.due_at_s(), now_s - SILENCE_S)
        if self._answered_at_s > since_s:
            return
        self._silent_since_s = max(self._answered_at_s, call.sent_at_s)
        _LOG.log(job_events.STORE_SILENT, failed_calls=len(self._calls))

    async def wait_to_retry(self, at_s: float) -> None:
        """Wait before the next try of a feed that has failed.

        While the store answers nobody, the feeds take turns, so that together
        they make few calls. Its first answer ends the wait.

        Args:
            at_s: Monotonic time of the next try if the store answers others.
        """
        now_s = anyio.current_time()
        if self._silent_since_s is not None:
            at_s = max(now_s, self._next_probe_at_s)
            self._next_probe_at_s = at_s + PROBE_PERIOD_S
        with anyio.move_on_after(max(0.0, at_s - now_s)):
            await self._returned.wait()
