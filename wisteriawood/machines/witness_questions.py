"""Asks witnesses: for confirmations of holds, and about former holds.

See docs/design/hold-terms.md. There is one task for each witness.
"""

import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import hold_terms
from wisteriawood.cells import holders
from wisteriawood.cells import members
from wisteriawood import errors
from wisteriawood.links import clocks
from wisteriawood.links.codecs import bounds
from wisteriawood.links import messages
from wisteriawood.machines import hold_questions
from wisteriawood import supervision
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)
CHECK_PERIOD_S = 0.25
ASK_PERIOD_S = 0.5


class WitnessQuestions:
    """Asks the witnesses of this host, and those of former holders.

    Args:
        known_members: The host's view of the other hosts.
        dial_host: Opens the channel to the host at an address, as host:port.
        find_holders: Returns the holders of the cells that this host holds,
            by cell.
        counters: Metrics of the host.
        supervisor: Records unexpected errors.
    """

    __slots__ = (
        "_counters",
        "_dial_host",
        "_find_holders",
        "_members",
        "_supervisor",
    )

    def __init__(
        self,
        *,
        known_members: members.Members,
        dial_host: hold_questions.DialHost,
        find_holders: typing.Callable[[], dict[str, holders.Holder]],
        counters: job_metrics.JobMetrics,
        supervisor: supervision.Supervisor,
    ):
        self._members = known_members
        self._dial_host = dial_host
        self._find_holders = find_holders
        self._counters = counters
        self._supervisor = supervisor

    async def run(self) -> None:
        """Ask for confirmations while the store does not answer."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            if not self._unconfirmed_holders():
                continue
            needed = self._members.witness_sets.needed()
            _LOG.log(
                job_events.HOLDS_UNCONFIRMED,
                host=self._members.name,
                cells=sorted(self._unconfirmed_holders()),
                witnesses=sorted(needed),
            )
            await self._ask_while_needed(sorted(needed))
            _LOG.log(
                job_events.HOLDS_UNCONFIRMED,
                host=self._members.name,
                is_over=True,
            )

    def _unconfirmed_holders(self) -> dict[str, hold_terms.HoldTerm]:
        """Return the terms of the holds whose last sign is old, by cell."""
        return {
            cell: holder.term
            for cell, holder in self._find_holders().items()
            if holder.term is not None and holder.term.needs_witnesses()
        }

    async def _ask_while_needed(self, names: list[str]) -> None:
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(self._ask_witness, name)
            while self._unconfirmed_holders():
                await anyio.sleep(CHECK_PERIOD_S)
                if sorted(self._members.witness_sets.needed()) != names:
                    break
            group.cancel_scope.cancel()

    async def _ask_witness(self, name: str) -> None:
        while True:
            began_at_s = anyio.current_time()
            await self._request(name)
            passed_s = anyio.current_time() - began_at_s
            await anyio.sleep(max(0.0, ASK_PERIOD_S - passed_s))

    async def _request(self, name: str) -> None:
        """Ask one witness once for confirmations of all holds."""
        found = self._find_holders()
        request = messages.WitnessRequest(
            host=self._members.name,
            claims={
                cell: holder.cell.claim.version
                for cell, holder in found.items()
            },
        )
        sent_s = clocks.elapsed_s()
        answer = await self._exchange(name, request)
        outcome = "unanswered"
        if isinstance(answer, messages.WitnessAnswer) and answer.host == name:
            outcome = "confirmed"
            for cell, holder in found.items():
                if cell not in answer.confirmed:
                    outcome = "superseded"
                elif holder.term is not None:
                    holder.term.record_confirmation(
                        name, answer.incarnation, sent_s
                    )
        self._counters.witness_answers.labels(outcome=outcome).inc()

    async def _exchange(
        self, name: str, question: typing.Any
    ) -> typing.Any | None:
        """Return the answer of a host; None if there is none."""
        member = self._members.by_name.get(name)
        if member is None or not member.heartbeat.address:
            return None
        try:
            address = bounds.check_address(member.heartbeat.address)
            with anyio.fail_after(hold_questions.ASK_TIMEOUT_S):
                async with self._dial_host(address) as channel:
                    await channel.send(question)
                    return await channel.receive()
        except (TimeoutError, errors.LinkError, errors.MessageError):
            return None
        except Exception as exc:
            self._supervisor.record("witness question", name, exc)
            return None

    async def ask_about(
        self,
        claim: claims.Claim,
        hold: former_holders.FormerHold,
        is_held: typing.Callable[[], bool],
    ) -> None:
        """Ask the witnesses of a former holder until one has told its term.

        Args:
            claim: The claim of this host.
            hold: The former hold.
            is_held: Returns whether this host still holds the cell.
        """
        while is_held() and not hold.is_over():
            names = self._members.unasked_witnesses(hold)
            async with anyio.create_task_group() as group:
                for name in names:
                    group.start_soon(self._ask_term, claim, hold, name)
            await anyio.sleep(ASK_PERIOD_S)

    async def _ask_term(
        self, claim: claims.Claim, hold: former_holders.FormerHold, name: str
    ) -> None:
        question = messages.TermQuestion(
            cell=claim.cell,
            host=self._members.name,
            version=claim.version,
            former_version=hold.claim.version,
        )
        answer = await self._exchange(name, question)
        if not isinstance(answer, messages.TermAnswer):
            return
        if (answer.host, answer.cell, answer.former_version) != (
            name,
            claim.cell,
            hold.claim.version,
        ):
            return
        hold.record_witness(answer)
        _LOG.log(
            job_events.HOLD_TERM_TOLD,
            cell=claim.cell,
            former=hold.claim.row.holder,
            witness=name,
            unconfirmed_s=round(answer.unconfirmed_s, 3),
        )
