"""Account of the bytes that the request bodies of a process occupy."""

import collections
import random
import typing

import anyio

from wisteriawood import errors

RETRY_AFTER_S = 1.0
# Retries are spread over this time, as many bodies are refused at once.
RETRY_SPREAD_S = 2.0
# Memory of a body while it is processed, as a multiple of its size: the
# decoded job, its row, the row in base64, the call to the store, and what the
# connection to the store buffers of it.
PROCESSING_FACTOR = 6


class HeldBody:
    """A body that is being received or processed.

    Used as a context manager: its bytes are returned to the budget at the
    end. The body is received inside `scope`, which the budget cancels when it
    refuses the body.

    Args:
        budget: The budget that it is held in.

    Attributes:
        data: The bytes received so far.
        is_refused: Whether the budget has refused it.
        processed_bytes: Memory that its processing occupies.
        scope: Scope in which it is received.
    """

    __slots__ = ("_budget", "data", "is_refused", "processed_bytes", "scope")

    def __init__(self, *, budget: "BodyBudget"):
        self._budget = budget
        self.data = bytearray()
        self.is_refused = False
        self.processed_bytes = 0
        self.scope = anyio.CancelScope()

    def __enter__(self) -> "HeldBody":
        self._budget.enter(self)
        return self

    def __exit__(self, *_exc_info: typing.Any) -> None:
        self._budget.leave(self)

    def add(self, piece: bytes) -> None:
        """Append received bytes.

        Args:
            piece: The bytes.

        Raises:
            BodyRefusedError: The budget is exhausted.
        """
        self._budget.make_room(self, len(piece))
        self.data += piece

    def complete(self) -> None:
        """Record that the whole body was received: it is not refused now."""
        self._budget.complete(self)

    async def wait_for_processing(self) -> None:
        """Wait until there is memory to process the body."""
        await self._budget.wait_for_processing(self)

    def clear(self) -> None:
        """Free the bytes, once the body has been decoded."""
        self._budget.release(self)


class BodyBudget:
    """Limits the bytes of all bodies of a process.

    When it is exhausted, it refuses the unfinished bodies that have gone
    longest without progress, and never a complete one. The memory for the
    processing of complete bodies is limited to the same number of bytes; they
    wait for it in the order in which they were completed.

    Args:
        capacity_bytes: Largest number of bytes held at a time.
        on_refusal: Called for each body refused.

    Attributes:
        capacity_bytes: Largest number of bytes held at a time.
        held_bytes: Bytes held now.
        processed_bytes: Memory that the processing of bodies occupies now.
    """

    __slots__ = (
        "_bodies",
        "_on_refusal",
        "_unfinished",
        "_waiting",
        "capacity_bytes",
        "held_bytes",
        "processed_bytes",
    )

    def __init__(
        self,
        *,
        capacity_bytes: int,
        on_refusal: typing.Callable[[], None] = lambda: None,
    ):
        self.capacity_bytes = capacity_bytes
        self._on_refusal = on_refusal
        self._bodies: set[HeldBody] = set()
        # The one that has gone longest without progress comes first.
        self._unfinished: collections.OrderedDict[HeldBody, None] = (
            collections.OrderedDict()
        )
        self._waiting: collections.deque[anyio.Event] = collections.deque()
        self.held_bytes = 0
        self.processed_bytes = 0

    def open(self) -> HeldBody:
        """Return a new body, to be used as a context manager."""
        return HeldBody(budget=self)

    def bodies(self) -> int:
        """Return the number of bodies that are held."""
        return len(self._bodies)

    def enter(self, body: HeldBody) -> None:
        """Start to hold a body; called by the body."""
        self._bodies.add(body)
        self._unfinished[body] = None

    def leave(self, body: HeldBody) -> None:
        """Stop holding a body; called by the body."""
        self._bodies.discard(body)
        self._unfinished.pop(body, None)
        self.release(body)
        self.processed_bytes -= body.processed_bytes
        self._wake_next()

    def complete(self, body: HeldBody) -> None:
        """Keep a body until it leaves; called by the body."""
        self._unfinished.pop(body, None)

    def make_room(self, body: HeldBody, size_bytes: int) -> None:
        """Reserve bytes for a body, and refuse others if necessary.

        Args:
            body: The body, which has made progress.
            size_bytes: Number of bytes.

        Raises:
            BodyRefusedError: There is no room without refusing this body.
        """
        if body.is_refused:
            raise exhausted_error()
        self._unfinished.move_to_end(body)
        while self.held_bytes + size_bytes > self.capacity_bytes:
            oldest = next(iter(self._unfinished))
            self._refuse(oldest)
            if oldest is body:
                raise exhausted_error()
        self.held_bytes += size_bytes

    async def wait_for_processing(self, body: HeldBody) -> None:
        """Reserve memory for processing a body; called by the body."""
        size_bytes = len(body.data) * PROCESSING_FACTOR
        if self._waiting or not self._can_process(size_bytes):
            event = anyio.Event()
            self._waiting.append(event)
            try:
                while self._waiting[0] is not event or not self._can_process(
                    size_bytes
                ):
                    await event.wait()
                    event = self._waiting[0] = anyio.Event()
            finally:
                self._waiting.remove(event)
                self._wake_next()
        body.processed_bytes = size_bytes
        self.processed_bytes += size_bytes

    def _can_process(self, size_bytes: int) -> bool:
        """Return whether there is room; a body alone always has room."""
        needed_bytes = self.processed_bytes + size_bytes
        return not self.processed_bytes or needed_bytes <= self.capacity_bytes

    def _wake_next(self) -> None:
        if self._waiting:
            self._waiting[0].set()

    def _refuse(self, body: HeldBody) -> None:
        del self._unfinished[body]
        self.release(body)
        body.is_refused = True
        body.scope.cancel()
        self._on_refusal()

    def release(self, body: HeldBody) -> None:
        """Free the bytes of a body.

        Args:
            body: The body.
        """
        self.held_bytes -= len(body.data)
        # The memory is needed at once; the task that holds it runs later.
        body.data.clear()


def exhausted_error() -> errors.BodyRefusedError:
    """Return the error that refuses a body for lack of memory."""
    return errors.BodyRefusedError(
        reason="too many request bodies at once; try again",
        retry_after_s=RETRY_AFTER_S + random.uniform(0, RETRY_SPREAD_S),
    )
