"""When changes of the store were made, as far as its answers tell."""

import collections
import dataclasses
import math

from wisteriawood.links import clocks

# Time for which an answer is remembered: longer than any interval between two
# changes that is asked for.
RETENTION_S = 30.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Answer:
    # Newest version in the store at some time between the other two.
    version: int
    sent_at_s: float
    answered_at_s: float


class VersionTimes:
    """The newest version of the store at the times of recent answers.

    All changes share one counter, so the answers of all feeds of a host tell
    between which two times a row was written or removed.
    """

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: collections.deque[_Answer] = collections.deque()

    def record(
        self, *, version: int, sent_at_s: float, answered_at_s: float
    ) -> None:
        """Record an answer that contained the store's newest version.

        Args:
            version: That version.
            sent_at_s: Time of clocks.elapsed_s at which the call was sent.
            answered_at_s: The same at which its answer arrived.
        """
        answers = self._answers
        while answers and answered_at_s - answers[0].sent_at_s > RETENTION_S:
            answers.popleft()
        answers.append(
            _Answer(
                version=version,
                sent_at_s=sent_at_s,
                answered_at_s=answered_at_s,
            )
        )

    def clear(self) -> None:
        """Forget all answers after a failure.

        No interval reaches back before it then: the store may remove entries
        while it is away, without the silence that a removal otherwise means.
        """
        self._answers.clear()

    def known_for_s(self, version: int) -> float:
        """Return for how long an answer has shown that a change was made.

        Args:
            version: Version of the change.

        Returns:
            The time in seconds; 0 if no recorded answer shows it.
        """
        now_s = clocks.elapsed_s()
        return max(
            (
                now_s - answer.answered_at_s
                for answer in self._answers
                if answer.version >= version
            ),
            default=0.0,
        )

    def longest_between_s(self, earlier: int, later: int) -> float:
        """Return the longest time that may lie between two changes.

        Args:
            earlier: Version of the first change.
            later: Version of the second change.

        Returns:
            The time in seconds; infinite if the answers do not bound it.
        """
        after_s = max(
            (a.sent_at_s for a in self._answers if a.version < earlier),
            default=-math.inf,
        )
        before_s = min(
            (a.answered_at_s for a in self._answers if a.version >= later),
            default=math.inf,
        )
        return before_s - after_s
