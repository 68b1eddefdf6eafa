"""What a new holder of a cell knows about the one before it."""

import math
import typing

import anyio

from wisteriawood.cells import leases

if typing.TYPE_CHECKING:
    from wisteriawood.cells import claims
    from wisteriawood.cells import members

# Time for which a former holder that can't reach the store may continue to
# renew leases.
RENEW_WITHOUT_STORE_S = 12.0


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


class FormerHolder:
    """The former holders of a cell, whose leases may outlast their claims.

    A host tells in its heartbeats which holds it has given up, and which of
    its former processes have ended. Until one of the two is known, a former
    holder may be cut off from the store and go on. So may the one before it,
    if the former one held the cell for a short time only.

    Args:
        claim: The claim of the last one; None if the cell had no holder.
        known_members: The host's view of the other hosts.
        lease_s: Duration of the workers' leases.

    Attributes:
        lapsed_at_s: Monotonic time from which the leases that they granted
            have certainly lapsed.
    """

    __slots__ = (
        "_holds",
        "_lapse_s",
        "_members",
        "_released_at_s",
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
        # Claims with the monotonic times until which their holders may renew
        # leases at the latest.
        self._holds: list[tuple[float, "claims.Claim"]] = []
        if claim is not None:
            self._holds = [
                (replaced_at_s + RENEW_WITHOUT_STORE_S, replaced)
                for replaced_at_s, replaced in known_members.replaced_claims(
                    claim.cell
                )
                if replaced.version < claim.version
                and not known_members.is_own_unheld(replaced)
            ]
        released_at_s = now_s
        if claim is not None and claim.row.holder:
            self._holds.append((now_s + RENEW_WITHOUT_STORE_S, claim))
            released_at_s = -math.inf
        self._released_at_s = released_at_s
        self.lapsed_at_s = math.inf
        self.update()

    def update(self) -> None:
        """Apply what has become known since the last call."""
        ends_s = [
            min(latest_s, self._members.hold_ended_at_s(claim))
            for latest_s, claim in self._holds
        ]
        ended_at_s = max([self._released_at_s, *ends_s])
        self.lapsed_at_s = min(self.lapsed_at_s, ended_at_s + self._lapse_s)
