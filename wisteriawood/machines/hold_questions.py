"""Asks former holders of a cell whether they have ended."""

import contextlib
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import members
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links.codecs import bounds
from wisteriawood.links import messages
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
# Longest time for a connection, the question and its answer.
ASK_TIMEOUT_S = 1.0
RETRY_PERIOD_S = 0.5

DialHost = typing.Callable[
    [str], contextlib.AbstractAsyncContextManager[channels.Channel]
]


class HoldQuestions:
    """Asks the hosts of former holders directly.

    A host that can't reach the store can't tell by its heartbeats that it has
    ended, and does not read that its cell has a newer claim. Only an answer
    proves something: a refused connection or silence does not.

    Args:
        known_members: The host's view of the other hosts.
        dial_host: Opens the channel to the host at an address, as host:port.
        supervisor: Records unexpected errors.
    """

    __slots__ = ("_dial_host", "_members", "_supervisor")

    def __init__(
        self,
        *,
        known_members: members.Members,
        dial_host: DialHost,
        supervisor: supervision.Supervisor,
    ):
        self._members = known_members
        self._dial_host = dial_host
        self._supervisor = supervisor

    async def ask(
        self,
        claim: claims.Claim,
        hold: former_holders.FormerHold,
        is_held: typing.Callable[[], bool],
    ) -> None:
        """Ask about a former hold until its end is known or sure.

        Args:
            claim: The claim of this host.
            hold: The former hold.
            is_held: Returns whether this host still holds the cell.
        """
        logged_cause = ""
        while is_held() and self._is_end_unknown(hold):
            cause = await self._try(claim, hold)
            if cause and cause != logged_cause:
                _LOG.log(
                    job_events.HOLD_UNANSWERED,
                    cell=claim.cell,
                    former=hold.claim.row.holder,
                    cause=cause,
                )
            logged_cause = cause
            await anyio.sleep(RETRY_PERIOD_S)

    def _is_end_unknown(self, hold: former_holders.FormerHold) -> bool:
        """Return whether a host may still renew leases under a former hold."""
        if hold.is_told or hold.claim.row.holder == self._members.name:
            return False
        now_s = anyio.current_time()
        ended_at_s = self._members.hold_ended_at_s(hold.claim)
        return now_s < min(hold.latest_s, ended_at_s)

    async def _try(
        self, claim: claims.Claim, hold: former_holders.FormerHold
    ) -> str:
        """Ask once; return why the end is still unknown, or nothing."""
        member = self._members.by_name.get(hold.claim.row.holder)
        if member is None or not member.heartbeat.address:
            return "its address is not known"
        question = messages.HoldQuestion(
            cell=claim.cell,
            host=self._members.name,
            epoch=claim.epoch,
            version=claim.version,
            former_host=hold.claim.row.holder,
            former_incarnation=hold.claim.row.incarnation,
            former_version=hold.claim.version,
        )
        try:
            with anyio.fail_after(ASK_TIMEOUT_S):
                answer = await self._exchange(
                    member.heartbeat.address, question
                )
        except TimeoutError:
            return f"no answer in {ASK_TIMEOUT_S} s"
        except (errors.LinkError, errors.MessageError) as exc:
            return str(exc)
        except Exception as exc:
            self._supervisor.record("hold question", claim.cell, exc)
            return repr(exc)
        return self._process(question, hold, answer)

    async def _exchange(
        self, address: str, question: messages.HoldQuestion
    ) -> typing.Any:
        async with self._dial_host(bounds.check_address(address)) as channel:
            await channel.send(question)
            return await channel.receive()

    def _process(
        self,
        question: messages.HoldQuestion,
        hold: former_holders.FormerHold,
        answer: typing.Any,
    ) -> str:
        """Process an answer; return why the end is still unknown."""
        if not isinstance(answer, messages.HoldAnswer):
            return "a message of another type"
        if (answer.host, answer.cell, answer.former_version) != (
            question.former_host,
            question.cell,
            question.former_version,
        ):
            return "an answer to another question"
        if not answer.has_ended:
            return "its host does not know that it has ended"
        hold.record_answer(answer)
        _LOG.log(
            job_events.HOLD_ENDED,
            cell=question.cell,
            former=question.former_host,
            is_same_process=(
                answer.incarnation == question.former_incarnation
            ),
            ended_s_ago=answer.ended_s,
            leases_left_s=answer.by_worker_s,
            has_granted=answer.has_granted,
        )
        return ""
