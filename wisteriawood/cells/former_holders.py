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


class FormerHolder:
    """The former holder of a cell, whose leases may outlast its claim.

    A host tells in its heartbeats which holds it has given up, and which of
    its former processes have ended. Until one of the two is known, the former
    holder may be cut off from the store and go on.

    Args:
        claim: Its claim; None if the cell had no holder.
        known_members: The host's view of the other hosts.
        lease_s: Duration of the workers' leases.

    Attributes:
        lapsed_at_s: Monotonic time from which the leases that it granted have
            certainly lapsed.
    """

    __slots__ = ("_claim", "_lapse_s", "_members", "lapsed_at_s")

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
        self._claim = claim if claim is not None and claim.row.holder else None
        now_s = anyio.current_time()
        self.lapsed_at_s = now_s + self._lapse_s
        if self._claim is not None:
            self.lapsed_at_s += RENEW_WITHOUT_STORE_S
        self.update()

    def update(self) -> None:
        """Apply what has become known since the last call."""
        if self._claim is None:
            return
        ended_at_s = self._members.hold_ended_at_s(self._claim)
        if math.isfinite(ended_at_s):
            self.lapsed_at_s = min(
                self.lapsed_at_s, ended_at_s + self._lapse_s
            )
