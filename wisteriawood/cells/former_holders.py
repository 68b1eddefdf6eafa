"""What a new holder of a cell knows about the ones before it."""

import math
import typing

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import hold_terms
from wisteriawood.cells import lease_rows
from wisteriawood.cells import leases
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

if typing.TYPE_CHECKING:
    from wisteriawood.cells import members
    from wisteriawood.links import messages

_LOG = events.Logger(name=__name__)
RENEW_WITHOUT_STORE_S = hold_terms.RENEW_WITHOUT_STORE_S
# Time after which an order without an answer takes effect no more, in any
# instance of a worker's process.
LATE_ORDER_S = 12.0
# Time before its last sign in which a holder may have sent starts without an
# answer of which nothing tells, if its heartbeat does not. It tries a start
# for less, and then counts the worker as silent, of which the row of leases
# tells, or has an answer to the stop.
UNTOLD_START_S = 4.0
# Longest time left of a lease that a row can tell of.
MAX_LEFT_S = 60.0


class WitnessTerm:
    """When a witness last confirmed a former hold.

    Args:
        answer: Its answer, which has just arrived.

    Attributes:
        incarnation: Its process.
        answered_at_s: Monotonic time at which it answered.
        confirmed_by_s: Monotonic time after which that process has not
            confirmed the hold.
        began_by_s: Monotonic time by which that process had begun.
    """

    __slots__ = (
        "answered_at_s",
        "began_by_s",
        "confirmed_by_s",
        "incarnation",
    )

    def __init__(self, *, answer: "messages.TermAnswer"):
        now_s = anyio.current_time()
        self.incarnation = answer.incarnation
        self.answered_at_s = now_s
        self.confirmed_by_s = now_s - answer.unconfirmed_s
        self.began_by_s = now_s - answer.age_s


class AdoptedRun:
    """A run that a new holder has taken over from the store.

    Args:
        version: Version of the row of its job.
        written_by_s: Monotonic time by which the row was certainly written.

    Attributes:
        version: The same as given.
        written_by_s: The same as given.
    """

    __slots__ = ("version", "written_by_s")

    def __init__(self, *, version: int, written_by_s: float):
        self.version = version
        self.written_by_s = written_by_s


class FormerHold:
    """A hold of a cell whose leases may still run.

    Args:
        claim: Its claim.
        latest_s: Monotonic time until which its holder may renew at the
            latest.
        lapse_s: Time after which a lease has lapsed.
        claimed_by_s: Monotonic time by which its claim was certainly written.

    Attributes:
        claim: Its claim.
        claimed_by_s: The same as given.
        latest_s: The same as given, or earlier if its end is known.
        basis_s: Monotonic time at which its holder certainly was the holder
            last, if nothing else tells how it ended; None if that is not
            known.
        last_load: The load of the cell in its holder's last heartbeat; None
            if that is not known.
        long_until_s: Monotonic times until which leases may run that may
            outlast the term, by worker, if its last sign is known.
        witness_terms: What witnesses have told of it, by host.
    """

    __slots__ = (
        "_answer",
        "_answered_at_s",
        "_lapse_s",
        "_limit_s",
        "basis_s",
        "claim",
        "claimed_by_s",
        "last_load",
        "latest_s",
        "long_until_s",
        "witness_terms",
    )

    def __init__(
        self,
        *,
        claim: claims.Claim,
        latest_s: float,
        lapse_s: float,
        claimed_by_s: float = math.inf,
    ):
        self.claim = claim
        self.claimed_by_s = claimed_by_s
        self.latest_s = latest_s
        self.basis_s: float | None = None
        self.last_load: claims.CellLoad | None = None
        self.long_until_s: dict[str, float] = {}
        self.witness_terms: dict[str, WitnessTerm] = {}
        self._lapse_s = lapse_s
        self._limit_s = latest_s + lapse_s
        self._answer: "messages.HoldAnswer | None" = None
        self._answered_at_s = 0.0

    def describe(self) -> str:
        """Return how the end of the hold is known, for the log."""
        host = self.claim.row.holder or "a host"
        if self.is_told:
            return f"{host} has told how its hold ended"
        if self.latest_s <= anyio.current_time():
            return f"{host} has certainly ended its hold"
        return f"{host} may still renew leases"

    def is_over(self) -> bool:
        """Return whether no lease that was granted under it may run now."""
        return self.lapsed_at_s() <= anyio.current_time()

    def record_witness(self, answer: "messages.TermAnswer") -> None:
        """Record what a witness has just answered.

        Args:
            answer: The answer.
        """
        self.witness_terms[answer.host] = WitnessTerm(answer=answer)

    @property
    def is_told(self) -> bool:
        """Whether the host of the holder has told how it ended."""
        return self._answer is not None

    def record_answer(self, answer: "messages.HoldAnswer") -> None:
        """Record what the host of the holder has just answered.

        Args:
            answer: The answer, which says that the hold has ended.
        """
        self._answer = answer
        self._answered_at_s = anyio.current_time()

    def lapsed_at_s_of(self, worker_id: str) -> float:
        """Return from when the leases granted to a worker have lapsed.

        Args:
            worker_id: Id of the worker.

        Returns:
            Monotonic time.
        """
        if self._answer is None:
            return max(
                self.latest_s + self._lapse_s,
                self.long_until_s.get(worker_id, -math.inf),
            )
        if not self._answer.has_granted:
            return -math.inf
        left_s = self._answer.by_worker_s.get(worker_id)
        if left_s is None:
            left_s = self._lapse_s - self._answer.ended_s
        return min(self._limit_s, self._answered_at_s + left_s)

    def late_start_until_s(self, task_name: str) -> float:
        """Return until when a start without an answer may take effect.

        Args:
            task_name: Name of the task.

        Returns:
            Monotonic time; infinitely early if no such start is known.
        """
        if self._answer is None:
            return -math.inf
        left_s = self._answer.unanswered_s.get(task_name)
        if left_s is None:
            return -math.inf
        return self._answered_at_s + min(left_s, MAX_LEFT_S)

    def untold_start_until_s(
        self, task_name: str, adopted: AdoptedRun
    ) -> float:
        """Return until when a start that was not answered may take effect.

        Args:
            task_name: Name of the task.
            adopted: Its run.

        Returns:
            Monotonic time; infinitely early if the start was answered, or if
            the end of the hold has been told.
        """
        if self.is_told or self.basis_s is None:
            return -math.inf
        load = self.last_load
        if load is not None and load.unanswered is not None:
            is_answered = (
                adopted.version <= load.as_of
                and task_name not in load.unanswered
            )
        else:
            latest_s = self.basis_s - UNTOLD_START_S
            is_answered = adopted.written_by_s < latest_s
        return -math.inf if is_answered else self.basis_s + LATE_ORDER_S

    def lapsed_at_s(self) -> float:
        """Return from when the leases granted to all workers have lapsed.

        Returns:
            Monotonic time.
        """
        if self._answer is None:
            return max(
                [self.latest_s + self._lapse_s, *self.long_until_s.values()]
            )
        if not self._answer.has_granted:
            return -math.inf
        left_s = max(
            self._lapse_s - self._answer.ended_s,
            *self._answer.by_worker_s.values(),
            0.0,
        )
        return min(self._limit_s, self._answered_at_s + left_s)


class FormerHolder:
    """The former holders of a cell, whose leases may outlast their claims.

    The row of leases names the holds before the last claim, and the workers
    whose leases nobody has extended since it was written: for those no hold
    counts. A host tells in its heartbeats which holds it has given up, and
    which of its former processes have ended; it also tells so if it is asked.
    Until one of the two is known, a former holder may be cut off from the
    store and go on.

    Clocks of hosts are not compared: durations in the row count from when it
    was certainly written, or by the clock of the store.

    Args:
        claim: The claim of the last one; None if the cell had no holder.
        stored: The row of leases at the time of the new claim; None if there
            is none.
        known_members: The host's view of the other hosts.
        lease_s: Duration of the workers' leases.
        claimed_by_s: Monotonic time by which the claim was certainly written;
            infinite if that is not known.

    Attributes:
        holds: Holds whose leases may still run, the newest last.
        lapsed_at_s: Monotonic time from which the leases that they granted
            have certainly lapsed.
    """

    __slots__ = (
        "_lapse_s",
        "_adopted",
        "_late_start_until_s",
        "_members",
        "_withheld_until_s",
        "holds",
        "lapsed_at_s",
    )

    def __init__(
        self,
        *,
        claim: claims.Claim | None,
        stored: lease_rows.StoredLeases | None,
        known_members: "members.Members",
        lease_s: float,
        claimed_by_s: float = math.inf,
    ):
        self._members = known_members
        self._lapse_s = leases.lapse_s(lease_s)
        self.holds: list[FormerHold] = []
        # Monotonic times from which the leases of workers have lapsed that
        # nobody extends.
        self._withheld_until_s: dict[str, float] = {}
        # Monotonic times until which starts that were not answered may take
        # effect, by task.
        self._late_start_until_s: dict[str, float] = {}
        # The runs that were taken over, by task.
        self._adopted: dict[str, AdoptedRun] = {}
        if claim is not None:
            if stored is not None and _is_valid(stored, claim):
                self._adopt(claim.cell, stored)
            else:
                self._add_unknown(claim)
            if claim.row.holder:
                self._add_hold(
                    claim,
                    anyio.current_time() + RENEW_WITHOUT_STORE_S,
                    claimed_by_s,
                )
        self.lapsed_at_s = -math.inf
        self.update()

    def _adopt(self, cell: str, stored: lease_rows.StoredLeases) -> None:
        for hold in stored.row.former:
            lapsed_at_s = stored.written_by_s + min(
                hold.lapses_in_s, MAX_LEFT_S
            )
            self._add_hold(
                _make_claim(cell, hold),
                lapsed_at_s - self._lapse_s,
                stored.written_by_s,
            )
        self._withheld_until_s = {
            worker_id: stored.taken_by_s + min(left_s, MAX_LEFT_S)
            for worker_id, left_s in stored.row.withheld_s.items()
        }
        self._late_start_until_s = {
            task_name: stored.taken_by_s + min(left_s, MAX_LEFT_S)
            for task_name, left_s in stored.row.unanswered_s.items()
        }

    def _add_unknown(self, claim: claims.Claim) -> None:
        """Add whoever held the cell before a claim that tells no holds."""
        seen_at_s = self._members.claim_seen_at_s(claim)
        unknown = lease_rows.FormerHoldRow(
            holder="", incarnation="", version=0, lapses_in_s=0.0
        )
        self._add_hold(
            _make_claim(claim.cell, unknown),
            seen_at_s + RENEW_WITHOUT_STORE_S,
        )

    def _add_hold(
        self,
        claim: claims.Claim,
        latest_s: float,
        claimed_by_s: float = math.inf,
    ) -> None:
        if self._members.is_own_unheld(claim):
            return
        self.holds.append(
            FormerHold(
                claim=claim,
                latest_s=latest_s,
                lapse_s=self._lapse_s,
                claimed_by_s=claimed_by_s,
            )
        )

    def update(self) -> None:
        """Apply what has become known since the last call."""
        for hold in self.holds:
            ended_at_s = self._members.hold_ended_at_s(hold.claim)
            hold.latest_s = min(hold.latest_s, ended_at_s)
            if ended_at_s < math.inf:
                hold.basis_s = None
                hold.long_until_s = {}
            else:
                self._apply_term(hold)
        self.lapsed_at_s = max(
            (hold.lapsed_at_s() for hold in self.holds), default=-math.inf
        )

    def _apply_term(self, hold: FormerHold) -> None:
        """Apply the last time at which a holder certainly was the holder."""
        if hold.is_told or not hold.claim.row.holder:
            return
        basis_s = self._members.term_basis_s(hold)
        if basis_s >= hold.latest_s:
            return
        load = self._members.last_load(hold.claim)
        if load is not None and load.long_leases_s is None:
            return
        hold.latest_s = hold.basis_s = basis_s
        hold.last_load = load
        if load is not None:
            # They count from the last sign, which is not earlier.
            hold.long_until_s = {
                worker_id: basis_s + left_s
                for worker_id, left_s in (load.long_leases_s or {}).items()
            }
        _LOG.log(
            job_events.HOLD_TERM_KNOWN,
            cell=hold.claim.cell,
            former=hold.claim.row.holder,
            basis_age_s=round(anyio.current_time() - basis_s, 3),
            left_s=round(hold.lapsed_at_s() - anyio.current_time(), 3),
        )

    def lapsed_at_s_of(self, worker_id: str) -> float:
        """Return from when the former holders' leases of a worker are over.

        Args:
            worker_id: Id of the worker.

        Returns:
            Monotonic time.
        """
        lapsed_at_s = max(
            (hold.lapsed_at_s_of(worker_id) for hold in self.holds),
            default=-math.inf,
        )
        return min(
            lapsed_at_s, self._withheld_until_s.get(worker_id, math.inf)
        )

    def late_start_until_s(self, task_name: str) -> float:
        """Return until when a start of a former holder may take effect.

        Args:
            task_name: Name of the task.

        Returns:
            Monotonic time; infinitely early if no start without an answer is
            known.
        """
        until_s = max(
            self._late_start_until_s.get(task_name, -math.inf),
            *(hold.late_start_until_s(task_name) for hold in self.holds),
            -math.inf,
        )
        adopted = self._adopted.get(task_name)
        if adopted is None:
            return until_s
        return max(
            until_s,
            *(
                hold.untold_start_until_s(task_name, adopted)
                for hold in self.holds
            ),
            -math.inf,
        )

    def record_assigned(self, task_name: str, version: int) -> None:
        """Record a run that was taken over.

        Args:
            task_name: Name of its task.
            version: Version of the row that shows its assignment.
        """
        self._adopted[task_name] = AdoptedRun(
            version=version, written_by_s=self._members.written_by_s(version)
        )

    def stored_late_starts_s(self) -> dict[str, float]:
        """Return until when stored starts may take effect, by task."""
        return dict(self._late_start_until_s)

    def withheld_until_s(self) -> dict[str, float]:
        """Return the workers whose leases nobody extends.

        Returns:
            Monotonic times from which their leases have lapsed, by worker.
        """
        return dict(self._withheld_until_s)

    def to_rows(self) -> list[lease_rows.FormerHoldRow]:
        """Return the holds whose leases may still run."""
        now_s = anyio.current_time()
        return lease_rows.bound_former(
            [
                lease_rows.FormerHoldRow(
                    holder=hold.claim.row.holder,
                    incarnation=hold.claim.row.incarnation,
                    version=hold.claim.version,
                    lapses_in_s=ceil_tenth(hold.lapsed_at_s() - now_s),
                )
                for hold in self.holds
                if hold.lapsed_at_s() > now_s
            ]
        )

    def describe_basis(self, worker_id: str) -> str:
        """Return how the end of a worker's lease is known, for the log.

        Args:
            worker_id: Id of the worker.
        """
        lapsed_at_s = self.lapsed_at_s_of(worker_id)
        if lapsed_at_s == self._withheld_until_s.get(worker_id):
            return "nobody has extended it since its holder stored its end"
        if not self.holds:
            return "no former holder can have granted one"
        return max(
            self.holds, key=lambda hold: hold.lapsed_at_s_of(worker_id)
        ).describe()


def _is_valid(stored: lease_rows.StoredLeases, claim: claims.Claim) -> bool:
    """Return whether a row of leases binds the holder of the newest claim.

    One that is older than the claim is of a host that does not know the row.
    """
    return stored.is_readable and stored.version >= claim.version


def _make_claim(cell: str, hold: lease_rows.FormerHoldRow) -> claims.Claim:
    """Return the claim of a hold, as far as a row of leases tells it."""
    row = claims.ClaimRow(
        holder=hold.holder, incarnation=hold.incarnation, epoch=0
    )
    return claims.Claim(cell=cell, row=row, version=hold.version)


def ceil_tenth(value: float) -> float:
    """Return a duration rounded up to tenths, which keeps rows short.

    Args:
        value: The duration in seconds; at least 0 is returned.
    """
    return max(0.0, math.ceil(value * 10) / 10)
