"""Answers hosts that have claimed a cell which this host held."""

import math
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import lease_rows
from wisteriawood.cells import members
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links import messages

# Longest time for which a link stays open.
LINK_TIMEOUT_S = 5.0
# Ended holds of a cell that are remembered.
MAX_ENDED_HOLDS = 8


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

    def __init__(self, *, claim: claims.Claim, left: lease_rows.LeasesLeft):
        self._left = left
        self.claim = claim
        self.ended_at_s = anyio.current_time()

    def leases_left(self) -> lease_rows.LeasesLeft:
        """Return how long the leases may still run now, rounded up."""
        passed_s = anyio.current_time() - self.ended_at_s
        return lease_rows.LeasesLeft(
            by_worker_s={
                worker_id: former_holders.ceil_tenth(left_s - passed_s)
                for worker_id, left_s in self._left.by_worker_s.items()
            },
            has_granted=self._left.has_granted,
            unanswered_s={
                task_name: former_holders.ceil_tenth(left_s - passed_s)
                for task_name, left_s in self._left.unanswered_s.items()
            },
        )


class HoldAnswers:
    """Answers questions about the holds of this host.

    Args:
        known_members: The host's view of the other hosts.
        end_hold: Ends a hold if the claim in a question supersedes it, and
            returns whether this host does not hold the cell any more.

    Attributes:
        handlers: Functions that return the answer to a message, by its type.
    """

    __slots__ = (
        "_end_hold",
        "_ended",
        "_members",
        "_superseded",
        "handlers",
    )

    def __init__(
        self,
        *,
        known_members: members.Members,
        end_hold: typing.Callable[[messages.HoldQuestion], bool],
    ):
        self._members = known_members
        self._end_hold = end_hold
        self.handlers: dict[
            type, typing.Callable[[typing.Any], typing.Any]
        ] = {messages.HoldQuestion: self.answer}
        # The newest ended holds of each cell, the newest last.
        self._ended: dict[str, list[EndedHold]] = {}
        # Versions of the newest claims that were told to supersede those of
        # this host, by cell.
        self._superseded: dict[str, int] = {}

    def record(self, claim: claims.Claim, left: lease_rows.LeasesLeft) -> None:
        """Record the end of a hold, after which no lease is extended.

        Args:
            claim: The claim under which the cell was held.
            left: How long leases may still run.
        """
        known = self._ended.setdefault(claim.cell, [])
        if not known or known[-1].claim.version < claim.version:
            known.append(EndedHold(claim=claim, left=left))
            del known[:-MAX_ENDED_HOLDS]

    def is_superseded(self, claim: claims.Claim) -> bool:
        """Return whether this host has promised not to hold under a claim.

        Args:
            claim: A claim of this host.
        """
        return claim.version < self._superseded.get(claim.cell, 0)

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
                handler = self.handlers.get(type(question))
                if handler is None:
                    raise errors.MessageError(
                        f"unexpected {type(question).__name__}"
                    )
                await channel.send(handler(question))

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
        known = self._ended.get(question.cell, [])
        if not known or known[-1].claim.version < question.former_version:
            # The claim is in flight or was not answered. This process has not
            # held under it, and from now on it will not.
            self._superseded[question.cell] = max(
                question.version, self._superseded.get(question.cell, 0)
            )
            answer.has_ended, answer.has_granted = True, False
            return answer
        self._describe_ended(answer)
        return answer

    def answer_itself(self, claim: claims.Claim) -> messages.HoldAnswer:
        """Return what this process knows of an earlier hold of its own.

        Args:
            claim: The claim of that hold.
        """
        answer = messages.HoldAnswer(
            cell=claim.cell,
            host=self._members.name,
            incarnation=self._members.incarnation,
            former_version=claim.version,
        )
        self._describe_ended(answer)
        return answer

    def _describe_ended(self, answer: messages.HoldAnswer) -> None:
        """Complete an answer if the hold that it is about has ended."""
        for ended in self._ended.get(answer.cell, []):
            if ended.claim.version != answer.former_version:
                continue
            left = ended.leases_left()
            answer.has_ended = True
            answer.ended_s = _floor_tenth(
                anyio.current_time() - ended.ended_at_s
            )
            answer.by_worker_s = left.by_worker_s
            answer.has_granted = left.has_granted
            answer.unanswered_s = left.unanswered_s


def _floor_tenth(value: float) -> float:
    return max(0.0, math.floor(value * 10) / 10)
