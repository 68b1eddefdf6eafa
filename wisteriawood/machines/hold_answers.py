"""Answers hosts that have claimed a cell which this host held."""

import math
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import members
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links import messages

# Longest time for which a link stays open.
LINK_TIMEOUT_S = 5.0


class EndedHold:
    """What is known of the end of a hold.

    Args:
        claim: The claim under which the cell was held.
        left: How long leases could still run at that time.

    Attributes:
        claim: The claim.
        ended_at_s: Monotonic time from which no lease was extended.
    """

    __slots__ = ("_left", "claim", "ended_at_s")

    def __init__(self, *, claim: claims.Claim, left: claims.LeasesLeft):
        self._left = left
        self.claim = claim
        self.ended_at_s = anyio.current_time()

    def leases_left(self) -> claims.LeasesLeft:
        """Return how long the leases may still run now, rounded up."""
        passed_s = anyio.current_time() - self.ended_at_s
        return claims.LeasesLeft(
            by_worker_s={
                worker_id: _ceil_tenth(left_s - passed_s)
                for worker_id, left_s in self._left.by_worker_s.items()
            },
            others_s=_ceil_tenth(self._left.others_s - passed_s),
        )


class HoldAnswers:
    """Answers questions about the holds of this host.

    Args:
        known_members: The host's view of the other hosts.
        end_hold: Ends a hold if the claim in a question supersedes it, and
            returns whether this host does not hold the cell any more.
    """

    __slots__ = ("_end_hold", "_ended", "_members")

    def __init__(
        self,
        *,
        known_members: members.Members,
        end_hold: typing.Callable[[messages.HoldQuestion], bool],
    ):
        self._members = known_members
        self._end_hold = end_hold
        # The newest ended hold of each cell.
        self._ended: dict[str, EndedHold] = {}

    def record(self, claim: claims.Claim, left: claims.LeasesLeft) -> None:
        """Record the end of a hold, after which no lease is extended.

        Args:
            claim: The claim under which the cell was held.
            left: How long leases may still run.
        """
        known = self._ended.get(claim.cell)
        if known is None or known.claim.version < claim.version:
            self._ended[claim.cell] = EndedHold(claim=claim, left=left)

    async def serve(self, channel: channels.Channel) -> None:
        """Answer the questions of another host until it closes the link.

        Args:
            channel: Channel to the host.

        Raises:
            LinkError: The link is closed.
            MessageError: The message can't be decoded, or is no question.
        """
        with anyio.move_on_after(LINK_TIMEOUT_S):
            while True:
                question = await channel.receive()
                if not isinstance(question, messages.HoldQuestion):
                    raise errors.MessageError(
                        f"unexpected {type(question).__name__}"
                    )
                await channel.send(self.answer(question))

    def answer(self, question: messages.HoldQuestion) -> messages.HoldAnswer:
        """Return the answer to a question; the hold has ended if it says so.

        Args:
            question: The question.
        """
        answer = messages.HoldAnswer(
            cell=question.cell,
            host=self._members.name,
            incarnation=self._members.incarnation,
            former_version=question.former_version,
        )
        if question.former_host != self._members.name:
            return answer
        if not self._end_hold(question):
            # The claim in the question has been superseded itself.
            return answer
        if question.former_incarnation != self._members.incarnation:
            # Any other process under this name ended before this one began.
            answer.has_ended = True
            answer.ended_s = _floor_tenth(self._members.age_s())
            return answer
        ended = self._ended.get(question.cell)
        if ended is None or ended.claim.version < question.former_version:
            return answer
        left = ended.leases_left()
        answer.has_ended = True
        answer.ended_s = _floor_tenth(anyio.current_time() - ended.ended_at_s)
        answer.by_worker_s = left.by_worker_s
        answer.others_s = left.others_s
        return answer


def _ceil_tenth(value: float) -> float:
    return max(0.0, math.ceil(value * 10) / 10)


def _floor_tenth(value: float) -> float:
    return max(0.0, math.floor(value * 10) / 10)
