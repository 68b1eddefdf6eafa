"""Contains unexpected errors in the part of a process where they occur."""

import collections
import contextlib
import traceback
import typing

import anyio

from wisteriawood.telemetry import events

_LOG = events.Logger(name=__name__)
FIRST_DELAY_S = 0.2
MAX_DELAY_S = 5.0
# Time without an error after which the delay starts from its first value.
STABLE_S = 30.0
# Longest text of a traceback in a log line; its end names the error.
MAX_TRACEBACK_LENGTH = 4000
MAX_CAUSE_LENGTH = 300
MAX_NAME_LENGTH = 200
# Tracebacks that are remembered, so that each is logged once.
MAX_REMEMBERED = 100
# Items that a guard remembers at most.
MAX_GUARDED = 1000


class Backoff:
    """Delays between the restarts of one part of a process."""

    __slots__ = ("_delay_s", "_failed_at_s")

    def __init__(self):
        self._delay_s = 0.0
        self._failed_at_s = 0.0

    def next_delay_s(self) -> float:
        """Return the delay after an error, in seconds."""
        now_s = anyio.current_time()
        if now_s - self._failed_at_s > STABLE_S + self._delay_s:
            self._delay_s = 0.0
        self._failed_at_s = now_s
        self._delay_s = min(max(2 * self._delay_s, FIRST_DELAY_S), MAX_DELAY_S)
        return self._delay_s


class Supervisor:
    """Logs and counts the unexpected errors of a process.

    Args:
        count: Counts an error; called with the kind of the part it ended.
    """

    __slots__ = ("_count", "_logged")

    def __init__(
        self, *, count: typing.Callable[[str], None] = lambda _kind: None
    ):
        self._count = count
        self._logged: set[int] = set()

    def record(self, kind: str, name: str, cause: Exception) -> None:
        """Record an unexpected error.

        Args:
            kind: Kind of the part that it ended.
            name: Which of them.
            cause: The error.
        """
        self._count(kind)
        text = "".join(traceback.format_exception(cause))
        text = text[-MAX_TRACEBACK_LENGTH:]
        fields = {} if hash(text) in self._logged else {"traceback": text}
        if len(self._logged) < MAX_REMEMBERED:
            self._logged.add(hash(text))
        _LOG.log(
            events.PART_FAILED,
            kind=kind,
            name=name[:MAX_NAME_LENGTH],
            cause=repr(cause)[:MAX_CAUSE_LENGTH],
            **fields,
        )

    async def run(
        self,
        kind: str,
        name: str,
        function: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        """Run a function, and again after a delay if it fails.

        Args:
            kind: Kind of the part that the function runs.
            name: Which of them.
            function: Runs the part.
        """
        backoff = Backoff()
        while True:
            try:
                await function()
                return
            except Exception as exc:
                self.record(kind, name, exc)
            await anyio.sleep(backoff.next_delay_s())


class Guard:
    """Contains unexpected errors in repeated work on several items.

    An item whose work has failed is left out for a delay that grows with each
    further error, so that it neither ends nor floods the work on the others.

    Args:
        supervisor: Records the errors.
        kind: Kind of the items.
        expected: Errors that are passed on.
    """

    __slots__ = (
        "_backoffs",
        "_excluded_until_s",
        "_expected",
        "_kind",
        "_supervisor",
    )

    def __init__(
        self,
        *,
        supervisor: Supervisor | None = None,
        kind: str = "item",
        expected: type[Exception] | tuple[type[Exception], ...] = (),
    ):
        self._supervisor = supervisor or Supervisor()
        self._kind = kind
        self._expected = expected
        self._backoffs: collections.OrderedDict[str, Backoff] = (
            collections.OrderedDict()
        )
        self._excluded_until_s: dict[str, float] = {}

    def is_excluded(self, name: str) -> bool:
        """Return whether an item is left out now.

        Args:
            name: Name of the item.
        """
        if not self._excluded_until_s:
            return False
        until_s = self._excluded_until_s.get(name)
        return until_s is not None and anyio.current_time() < until_s

    @contextlib.contextmanager
    def contain(self, name: str) -> typing.Iterator[None]:
        """Contain an unexpected error of the work on an item.

        Args:
            name: Name of the item.
        """
        try:
            yield
        except self._expected:
            raise
        except Exception as exc:
            self.exclude(name, exc)

    def exclude(self, name: str, cause: Exception) -> None:
        """Record an unexpected error, and leave the item out for a delay.

        Args:
            name: Name of the item.
            cause: The error.
        """
        self._supervisor.record(self._kind, name, cause)
        backoff = self._backoffs.setdefault(name, Backoff())
        self._excluded_until_s[name] = (
            anyio.current_time() + backoff.next_delay_s()
        )
        if len(self._backoffs) > MAX_GUARDED:
            oldest, _backoff = self._backoffs.popitem(last=False)
            del self._excluded_until_s[oldest]


def split(
    error: Exception, expected: type[Exception]
) -> tuple[Exception | None, Exception | None]:
    """Return the first expected error, and what remains.

    Args:
        error: An error, or a group of errors that may contain groups.
        expected: Type of the expected errors.

    Returns:
        The first expected error, None if there is none; and the error
        without the expected ones, None if nothing remains.
    """
    if not isinstance(error, ExceptionGroup):
        if isinstance(error, expected):
            return error, None
        return None, error
    matching, rest = error.split(expected)
    first: Exception | None = matching
    while isinstance(first, ExceptionGroup):
        first = first.exceptions[0]
    return first, rest
