"""The steady clock of the store, which all hosts share."""

import collections
import dataclasses

from wisteriawood.links import clocks

# Newest answers that count; clocks of hosts drift apart over a longer time.
MAX_ANSWERS = 16
# The store tells whole milliseconds, and two clocks of this host are not read
# at one moment.
RESOLUTION_MS = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Answer:
    # Difference between the clocks, as at the answer and as at the call.
    least_ms: float
    most_ms: float


class StoreClock:
    """Bounds of what the store's clock shows, from its answers to changes.

    The store read its clock between the call and the answer, so one answer
    bounds the difference to the clock of this host from both sides.
    """

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: collections.deque[_Answer] = collections.deque(
            maxlen=MAX_ANSWERS
        )

    def record(
        self, *, store_ms: float, sent_at_s: float, answered_at_s: float
    ) -> None:
        """Record an answer.

        Args:
            store_ms: The store's clock in the answer; 0 if it has none.
            sent_at_s: Time of clocks.elapsed_s at which the call was sent.
            answered_at_s: The same at which its answer arrived.
        """
        if not store_ms:
            return
        answer = _Answer(
            least_ms=store_ms - answered_at_s * 1000,
            most_ms=store_ms - sent_at_s * 1000,
        )
        is_consistent = all(
            answer.least_ms <= known.most_ms + RESOLUTION_MS
            and known.least_ms <= answer.most_ms + RESOLUTION_MS
            for known in self._answers
        )
        if not is_consistent:
            self._answers.clear()
        self._answers.append(answer)

    def latest_ms(self) -> float:
        """Return the latest time that the store's clock may show now.

        Returns:
            The time in milliseconds; 0 if it is not known.
        """
        if not self._answers:
            return 0.0
        most_ms = min(answer.most_ms for answer in self._answers)
        return clocks.elapsed_s() * 1000 + most_ms

    def passed_s(self, since_ms: float) -> float:
        """Return for how long a time of the store's clock has surely passed.

        Args:
            since_ms: The time in milliseconds; 0 if it is not known.

        Returns:
            The time in seconds; 0 if nothing is known.
        """
        if not self._answers or not since_ms:
            return 0.0
        least_ms = max(answer.least_ms for answer in self._answers)
        now_ms = clocks.elapsed_s() * 1000 + least_ms
        return max(0.0, (now_ms - since_ms) / 1000)
