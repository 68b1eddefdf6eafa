"""What a new holder of a cell knows about the one before it."""

import math
import typing

import anyio

from wisteriawood.cells import leases

if typing.TYPE_CHECKING:
    from wisteriawood.cells import claims
    from wisteriawood.cells import members
    from wisteriawood.links import messages

# Time for which a former holder that can't reach the store may continue to
# renew leases.
RENEW_WITHOUT_STORE_S = 12.0
# Longest time left of a lease that a release can tell of.
MAX_LEFT_S = 60.0


class UnansweredClaims:
    """Claims of a host whose commits got no answer.

    One that took effect is later read as the claim of a former holder,
    although nobody held the cell under it. Whoever held the cell before may
    still renew leases.
    """

    __slots__ = ("_former",)

    def __init__(self):
        # Newest claim before the unanswered ones, by cell.
        self._former: dict[str, "claims.Claim | None"] = {}

    def add(self, cell: str, former: "claims.Claim | None") -> None:
        """Record that a claim got no answer.

        Args:
            cell: Name of the cell.
            former: Newest claim under which another process may have held
                the cell before; None if there is none.
        """
        self._former[cell] = former

    def find_former(
        self,
        cell: str,
        newest: "claims.Claim | None",
        incarnation: str,
    ) -> "claims.Claim | None":
        """Return the newest claim under which a cell may have been held.

        Args:
            cell: Name of the cell; this host does not hold it.
            newest: The newest claim; None if there is none.
            incarnation: Identifier of this host's process.
        """
        if newest is None or newest.row.incarnation != incarnation:
            return newest
        return self._former.get(cell, newest)

    def discard(self, cell: str) -> None:
        """Forget the claims of a cell, which this host holds now.

        Args:
            cell: Name of the cell.
        """
        self._former.pop(cell, None)


class FormerHold:
    """A hold of a cell whose holder may still renew leases.

    Args:
        claim: Its claim.
        latest_s: Monotonic time until which its holder may renew at the
            latest.
        lapse_s: Time after which a lease has lapsed.

    Attributes:
        claim: Its claim.
        latest_s: The same as given, or earlier if its end is known.
    """

    __slots__ = (
        "_answer",
        "_answered_at_s",
        "_lapse_s",
        "_limit_s",
        "claim",
        "latest_s",
    )

    def __init__(
        self, *, claim: "claims.Claim", latest_s: float, lapse_s: float
    ):
        self.claim = claim
        self.latest_s = latest_s
        self._lapse_s = lapse_s
        self._limit_s = latest_s + lapse_s
        self._answer: "messages.HoldAnswer | None" = None
        self._answered_at_s = 0.0

    def describe(self) -> str:
        """Return how the end of the hold is known, for the log."""
        host = self.claim.row.holder
        if self.is_told:
            return f"{host} has told how its hold ended"
        if self.latest_s < self._limit_s - self._lapse_s:
            return f"a heartbeat of {host} tells that its hold has ended"
        return f"{host} may still renew leases"

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
            return self.latest_s + self._lapse_s
        left_s = self._answer.by_worker_s.get(worker_id)
        if left_s is None:
            left_s = self._others_left_s(self._answer)
        return min(self._limit_s, self._answered_at_s + left_s)

    def lapsed_at_s(self) -> float:
        """Return from when the leases granted to all workers have lapsed.

        Returns:
            Monotonic time.
        """
        if self._answer is None:
            return self.latest_s + self._lapse_s
        left_s = max(
            [
                self._others_left_s(self._answer),
                *self._answer.by_worker_s.values(),
            ]
        )
        return min(self._limit_s, self._answered_at_s + left_s)

    def _others_left_s(self, answer: "messages.HoldAnswer") -> float:
        return max(self._lapse_s - answer.ended_s, answer.others_s)


class FormerHolder:
    """The former holders of a cell, whose leases may outlast their claims.

    A host tells in its heartbeats which holds it has given up, and which of
    its former processes have ended; it also tells so if it is asked. Until
    one of the two is known, a former holder may be cut off from the store and
    go on. So may the one before it, if the former one held the cell for a
    short time only.

    A release tells how long the leases of silent workers may still run. Clocks
    of hosts are not compared: that time counts from when the release was first
    seen here.

    Args:
        claim: The claim of the last one; None if the cell had no holder.
        known_members: The host's view of the other hosts.
        lease_s: Duration of the workers' leases.

    Attributes:
        holds: Holds that may not have ended yet.
        lapsed_at_s: Monotonic time from which the leases that they granted
            have certainly lapsed.
    """

    __slots__ = (
        "_lapse_s",
        "_left",
        "_members",
        "_released_at_s",
        "holds",
        "lapsed_at_s",
    )

    def __init__(
        self,
        *,
        claim: "claims.Claim | None",
        known_members: "members.Members",
        lease_s: float,
    ):
        self._members = known_members
        self._lapse_s = (
            lease_s * leases.CLOCK_DRIFT_RATIO + leases.LAPSE_MARGIN_S
        )
        now_s = anyio.current_time()
        self.holds: list[FormerHold] = []
        if claim is not None:
            for replaced_at_s, replaced in known_members.replaced_claims(
                claim.cell
            ):
                if (
                    replaced.version < claim.version
                    and not known_members.is_own_unheld(replaced)
                ):
                    self._add_hold(replaced, replaced_at_s)
        self._released_at_s = now_s
        self._left: "claims.LeasesLeft | None" = None
        if claim is not None and claim.row.holder:
            self._add_hold(claim, now_s)
            self._released_at_s = -math.inf
        elif claim is not None and claim.row.leases_left is not None:
            self._released_at_s = known_members.release_seen_at_s(claim)
            self._left = claim.row.leases_left
        self.lapsed_at_s = math.inf
        self.update()

    def _add_hold(self, claim: "claims.Claim", replaced_at_s: float) -> None:
        self.holds.append(
            FormerHold(
                claim=claim,
                latest_s=replaced_at_s + RENEW_WITHOUT_STORE_S,
                lapse_s=self._lapse_s,
            )
        )

    def update(self) -> None:
        """Apply what has become known since the last call."""
        for hold in self.holds:
            ended_at_s = self._members.hold_ended_at_s(hold.claim)
            hold.latest_s = min(hold.latest_s, ended_at_s)
        left_s = self._others_left_s()
        if self._left is not None:
            left_s = max([left_s, *self._left.by_worker_s.values()])
        lapses_s = [hold.lapsed_at_s() for hold in self.holds]
        self.lapsed_at_s = max([self._release_lapsed_at_s(left_s), *lapses_s])

    def describe_basis(self, worker_id: str) -> str:
        """Return how the end of a worker's lease is known, for the log.

        Args:
            worker_id: Id of the worker.
        """
        if not self.holds:
            return "the former holder has released the cell"
        return max(
            self.holds, key=lambda hold: hold.lapsed_at_s_of(worker_id)
        ).describe()

    def _others_left_s(self) -> float:
        """Return the time left of leases that a release does not name."""
        if self._left is None:
            return self._lapse_s
        return max(self._lapse_s, self._left.others_s)

    def _release_lapsed_at_s(self, left_s: float) -> float:
        return self._released_at_s + min(left_s, MAX_LEFT_S)

    def lapsed_at_s_of(self, worker_id: str) -> float:
        """Return from when the former holders' leases of a worker are over.

        Args:
            worker_id: Id of the worker.

        Returns:
            Monotonic time.
        """
        left_s = self._others_left_s()
        if self._left is not None:
            left_s = self._left.by_worker_s.get(worker_id, left_s)
        lapses_s = [hold.lapsed_at_s_of(worker_id) for hold in self.holds]
        return max([self._release_lapsed_at_s(left_s), *lapses_s])
