"""Confirms the holds of other hosts that the store does not answer.

See docs/design/hold-terms.md.
"""

import typing

from wisteriawood.cells import members
from wisteriawood.links import clocks
from wisteriawood.links import messages

if typing.TYPE_CHECKING:
    from wisteriawood.telemetry import job_metrics


class Witness:
    """Answers holders, and those that have claimed cells of other hosts.

    A hold is confirmed as long as this host knows no newer claim of the cell.
    Who has claimed the cell learns when that was last done, and that it is
    not done any more.

    Args:
        known_members: The host's view of the other hosts and the claims.
        counters: Metrics of the host.
    """

    __slots__ = ("_confirmed", "_counters", "_members", "_superseded")

    def __init__(
        self,
        *,
        known_members: members.Members,
        counters: "job_metrics.JobMetrics",
    ):
        self._members = known_members
        self._counters = counters
        # Version of the claim that was confirmed last, and when, by cell.
        self._confirmed: dict[str, tuple[int, float]] = {}
        # Versions of the newest claims that hosts have told, by cell.
        self._superseded: dict[str, int] = {}

    def confirm(
        self, request: messages.WitnessRequest
    ) -> messages.WitnessAnswer:
        """Return which holds of a host are confirmed.

        Args:
            request: The request of the host.
        """
        now_s = clocks.elapsed_s()
        confirmed = []
        for cell, version in request.claims.items():
            is_newest = version >= self._newest_version(cell)
            outcome = "confirmed" if is_newest else "superseded"
            self._counters.witness_requests.labels(outcome=outcome).inc()
            if is_newest:
                self._confirmed[cell] = (version, now_s)
                confirmed.append(cell)
        return messages.WitnessAnswer(
            host=self._members.name,
            incarnation=self._members.incarnation,
            confirmed=confirmed,
        )

    def _newest_version(self, cell: str) -> int:
        known = self._members.claims.get(cell)
        return max(
            self._superseded.get(cell, 0),
            self._confirmed.get(cell, (0, 0.0))[0],
            known.version if known is not None else 0,
        )

    def answer(self, question: messages.TermQuestion) -> messages.TermAnswer:
        """Return when a former hold was last confirmed, and do it no more.

        Args:
            question: The question of the host that has claimed the cell.
        """
        cell = question.cell
        self._superseded[cell] = max(
            question.version, self._superseded.get(cell, 0)
        )
        return messages.TermAnswer(
            cell=cell,
            host=self._members.name,
            incarnation=self._members.incarnation,
            former_version=question.former_version,
            unconfirmed_s=self.unconfirmed_s(cell, question.former_version),
            age_s=self._members.age_s(),
        )

    def unconfirmed_s(self, cell: str, version: int) -> float:
        """Return for how long this process has not confirmed a hold.

        Args:
            cell: The cell.
            version: Version of the claim of the hold.

        Returns:
            The time in seconds; the age of the process if it never did.
        """
        confirmed_version, at_s = self._confirmed.get(cell, (0, 0.0))
        if confirmed_version >= version:
            # An earlier hold was not confirmed after a later one.
            return max(0.0, clocks.elapsed_s() - at_s)
        return self._members.age_s()
