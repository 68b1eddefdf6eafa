"""Stores when the leases of a cell's silent workers end."""

import math

import anyio

from wisteriawood.cells import cells
from wisteriawood.cells import former_holders
from wisteriawood.cells import hold_terms
from wisteriawood.cells import late_starts
from wisteriawood.cells import lease_rows
from wisteriawood.cells import tables
from wisteriawood.cells import worker_sessions
from wisteriawood.cells import workers
from wisteriawood import errors
from wisteriawood.links import clocks
from wisteriawood.links import stores
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)
CHECK_PERIOD_S = 0.25
# Time after the opening of a cell in which live workers answer its holder.
FIRST_ANSWERS_S = 0.6
# An end that becomes known to be this much earlier is stored again.
SHORTENED_S = 0.5
# Workers that a log line names at most.
MAX_LOGGED_WORKERS = 16


class LeaseLedger:
    """Keeps the row of leases of a held cell.

    The lease of a worker that the row names is not extended, by this holder or
    a later one, until a version of the row without the worker is stored. So
    the next holder knows when it ends, even if this process does not live to
    tell.

    Args:
        cell: The cell.
        former: The former holders, whose leases may still run.
        row: The row that was stored with the claim.
        term: Until when leases may run; None for no bound.
    """

    __slots__ = (
        "_cell",
        "_former",
        "_is_withholding_all",
        "_opened_at_s",
        "_pending",
        "_row",
        "_term",
        "_version",
        "_wakeup",
        "_withheld_until_s",
    )

    def __init__(
        self,
        *,
        cell: cells.Cell,
        former: former_holders.FormerHolder,
        row: lease_rows.LeasesRow,
        term: hold_terms.HoldTerm | None = None,
    ):
        self._cell = cell
        self._term = term
        self._former = former
        self._row = row
        self._version = cell.claim.version
        self._withheld_until_s = former.withheld_until_s()
        # Workers that a row names whose commit is not confirmed.
        self._pending: set[str] = set()
        self._is_withholding_all = False
        self._opened_at_s = math.inf
        self._wakeup = anyio.Event()
        cell.on_answering_change = self._notify

    def _notify(self) -> None:
        self._wakeup.set()

    def is_withheld(self, worker_id: str) -> bool:
        """Return whether the lease of a worker must not be extended.

        Args:
            worker_id: Id of the worker.
        """
        return (
            self._is_withholding_all
            or worker_id in self._pending
            or worker_id in self._withheld_until_s
        )

    def removed_until_s(self) -> dict[str, float]:
        """Return the withheld workers that the cell no longer has.

        Returns:
            Monotonic times from which their leases have lapsed, by worker.
        """
        return {
            worker_id: lapsed_at_s
            for worker_id, lapsed_at_s in self._withheld_until_s.items()
            if worker_id not in self._cell.fleet
        }

    def withhold_all(self) -> None:
        """Extend no lease until `restore`."""
        self._is_withholding_all = True
        self._apply()

    def restore(self) -> None:
        """Extend leases again, except those that the row names."""
        self._is_withholding_all = False
        self._apply()

    def _apply(self) -> None:
        for worker in self._cell.fleet.values():
            worker.lease.is_withheld = self.is_withheld(worker.id)

    async def run(self) -> None:
        """Store the ends of leases until cancelled.

        Raises:
            CellLostError: Another host has claimed the cell.
        """
        self._opened_at_s = anyio.current_time()
        while True:
            with anyio.move_on_after(CHECK_PERIOD_S):
                await self._wakeup.wait()
                if not self._has_returned():
                    await anyio.sleep(worker_sessions.RETRY_ANSWER_S)
            self._wakeup = anyio.Event()
            if self._term is not None and self._term.needs_check():
                await self._check_claim(self._term)
            if not self._is_withholding_all and self._is_due():
                await self._store()

    async def _check_claim(self, term: hold_terms.HoldTerm) -> None:
        """Check that nobody else has claimed the cell.

        The host has not heard from the store for some time. Its signs of life
        count again after it.

        Raises:
            CellLostError: Another host has claimed the cell.
        """
        cell = self._cell
        claim_at = tables.claim_row(cell.name)
        sent_s = clocks.elapsed_s()
        outcome = "held"
        try:
            await cell.store.commit(
                stores.Change(expected={claim_at: cell.claim.version})
            )
        except stores.ChangeConflictError as exc:
            outcome = "lost"
            raise tables.CellLostError("the cell has another claim") from exc
        except errors.PlatformError as exc:
            outcome = f"unknown: {exc}"
            return
        finally:
            cell.counters.hold_checks.labels(
                outcome=outcome.partition(":")[0]
            ).inc()
            _LOG.log(
                job_events.HOLD_CHECKED,
                cell=cell.name,
                outcome=outcome,
                basis_age_s=round(sent_s - term.basis_s(), 3),
            )
        term.record_check(sent_s)

    def _has_returned(self) -> bool:
        """Return whether a worker answers whose lease is not extended."""
        return any(
            worker.is_answering and worker.id in self._withheld_until_s
            for worker in self._cell.fleet.values()
        )

    def _find_awaited(self) -> dict[str, float]:
        """Return when the leases end of workers that don't answer.

        Returns:
            Monotonic times, by worker.
        """
        now_s = anyio.current_time()
        fleet, orphans = self._cell.fleet, self._cell.orphans
        found = {
            worker_id: lapsed_at_s
            for worker_id, lapsed_at_s in self._withheld_until_s.items()
            if worker_id not in fleet and now_s < lapsed_at_s
        }
        for worker_id in orphans:
            found[worker_id] = self._former.lapsed_at_s_of(worker_id)
        for worker in fleet.values():
            if self._is_awaited(worker, now_s):
                found[worker.id] = worker.lease.ended_at_s()
        known = [name for name in found if name in self._withheld_until_s]
        new = [name for name in found if name not in self._withheld_until_s]
        named = lease_rows.bound_withheld([*known, *new])
        return {worker_id: found[worker_id] for worker_id in named}

    def _is_awaited(self, worker: workers.Worker, now_s: float) -> bool:
        if worker.is_answering:
            return False
        if worker.id in self._withheld_until_s:
            return bool(worker.runs) or not worker.lease.has_lapsed(now_s)
        if not worker.runs:
            return False
        if worker.answered_at_s > 0:
            return now_s >= worker.lost_from_s
        return now_s - self._opened_at_s >= FIRST_ANSWERS_S

    def _is_due(self) -> bool:
        """Return whether the next holder would learn something it needs."""
        if self._has_returned():
            return True
        if self._row.former and not self._former.to_rows():
            return True
        known_s = self._withheld_until_s
        return any(
            ended_at_s < known_s.get(worker_id, math.inf) - SHORTENED_S
            for worker_id, ended_at_s in self._find_awaited().items()
        )

    async def _store(self) -> None:
        """Replace the row, and extend only leases that it does not name."""
        awaited = self._find_awaited()
        self._pending = set(awaited)
        self._apply()
        row = self._make_row(awaited)
        claim = self._cell.claim
        at = tables.leases_row(claim.cell)
        change = stores.Change(
            expected={
                tables.claim_row(claim.cell): claim.version,
                at: self._version,
            },
            writes={at: lease_rows.leases_to_bytes(row)},
        )
        try:
            # Without an answer it is sent again until its outcome is known.
            self._version = await stores.commit_with_retry(
                self._cell.store, change, give_up_at_s=math.inf
            )
        except stores.ChangeConflictError as exc:
            raise tables.CellLostError("the cell has another claim") from exc
        except errors.PlatformError as exc:
            _LOG.log(
                job_events.LEASES_NOT_STORED, cell=claim.cell, cause=str(exc)
            )
        else:
            self._row, self._withheld_until_s = row, awaited
            self._log()
        self._pending = set()
        self._apply()

    def _make_row(self, ends_s: dict[str, float]) -> lease_rows.LeasesRow:
        now_s = anyio.current_time()
        return lease_rows.LeasesRow(
            number=self._row.number + 1,
            taken_ms=self._cell.store.clock.latest_ms(),
            withheld_s={
                worker_id: former_holders.ceil_tenth(ended_at_s - now_s)
                for worker_id, ended_at_s in ends_s.items()
            },
            former=self._former.to_rows(),
            unanswered_s=late_starts.left_in_cell_s(self._cell, self._former),
        )

    def _log(self) -> None:
        named = list(self._row.withheld_s.items())
        _LOG.log(
            job_events.LEASES_STORED,
            cell=self._cell.name,
            withheld_s=dict(named[:MAX_LOGGED_WORKERS]),
            left_out=max(0, len(named) - MAX_LOGGED_WORKERS),
            unanswered=len(self._row.unanswered_s),
            former=[hold.holder for hold in self._row.former],
        )

    def make_release_row(
        self, silent_after_s: float, lapse_s: float
    ) -> lease_rows.LeasesRow:
        """Return the row to store with a release of the cell.

        Args:
            silent_after_s: Time without an answer after which a worker
                counts as silent.
            lapse_s: Time after which a lease granted now has lapsed.
        """
        now_s = anyio.current_time()
        ends_s = self._find_awaited()
        for worker in self._cell.fleet.values():
            if worker.runs and now_s - worker.answered_at_s > silent_after_s:
                ends_s[worker.id] = worker.lease.ended_at_s()
        named = lease_rows.bound_withheld(ends_s)
        row = self._make_row({name: ends_s[name] for name in named})
        claim = self._cell.claim
        own = lease_rows.FormerHoldRow(
            holder=claim.row.holder,
            incarnation=claim.row.incarnation,
            version=claim.version,
            lapses_in_s=former_holders.ceil_tenth(lapse_s),
        )
        row.former = lease_rows.bound_former([*row.former, own])
        return row


def make_claim_row(
    *,
    former: former_holders.FormerHolder,
    stored: lease_rows.StoredLeases | None,
    taken_ms: float,
) -> lease_rows.LeasesRow:
    """Return the row to store with a claim of a cell.

    Args:
        former: The former holders, as known before the claim.
        stored: The row to replace; None if there is none.
        taken_ms: Latest time that the store's clock may show now.
    """
    now_s = anyio.current_time()
    return lease_rows.LeasesRow(
        number=stored.row.number + 1 if stored else 0,
        taken_ms=taken_ms,
        withheld_s={
            worker_id: former_holders.ceil_tenth(lapsed_at_s - now_s)
            for worker_id, lapsed_at_s in former.withheld_until_s().items()
        },
        former=former.to_rows(),
        unanswered_s=late_starts.left_s(former.stored_late_starts_s()),
    )
