"""Claims of cells: the host that holds a cell, and its epoch."""

import dataclasses

import anyio

from wisteriawood.cells import capacity_requests
from wisteriawood.cells import lease_rows
from wisteriawood.cells import tables
from wisteriawood.cells import worker_groups
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import rows
from wisteriawood.links import stores

# Time after which a claim whose commit has no known outcome is given up.
CLAIM_TIMEOUT_S = 3.0
# Most queues, and racks, of a cell in a heartbeat that would be too large; if
# it still is, half of them, and so on.
MAX_TRIMMED = 256


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimRow:
    """Row of a claim.

    Attributes:
        holder: Host that holds the cell; empty once it is released.
        incarnation: Identifier of the holder's process.
        epoch: Increases by one with each claim.
    """

    holder: bounds.Name
    incarnation: bounds.Name
    epoch: bounds.Amount


@dataclasses.dataclass(slots=True, kw_only=True)
class Claim:
    """A claim with the version of its row in the store.

    Attributes:
        cell: Name of the cell.
        row: The row.
        version: Version of the row.
    """

    cell: str
    row: ClaimRow
    version: int

    @property
    def epoch(self) -> int:
        """Epoch of the claim."""
        return self.row.epoch


def read_claim(row: stores.StoredRow) -> Claim:
    """Return the claim in a row of the store.

    Args:
        row: The row.

    Raises:
        MessageError: The row can't be decoded.
    """
    return Claim(
        cell=row.at.key,
        row=rows.from_json(row.value or b"", ClaimRow),
        version=row.version,
    )


async def claim_cell(
    store: stores.Store,
    cell: str,
    previous: Claim | None,
    host: str,
    incarnation: str,
    *,
    leases: lease_rows.LeasesRow,
    leases_version: int | None,
) -> Claim:
    """Claim a cell for a host, or release it.

    Args:
        store: The store.
        cell: Name of the cell.
        previous: The claim to replace; None if there is none.
        host: Name of the host; empty to release the cell.
        incarnation: Identifier of its process.
        leases: The new row of leases.
        leases_version: Version of the row of leases to replace, 0 if there is
            none; None if its version does not matter, as nobody else can
            change it.

    Returns:
        The new claim.

    Raises:
        ChangeConflictError: Another host has changed the claim or the leases.
        PlatformError: The outcome of the commit was not known in time.
    """
    row = ClaimRow(
        holder=host,
        incarnation=incarnation,
        epoch=(previous.epoch if previous else 0) + (1 if host else 0),
    )
    at = tables.claim_row(cell)
    leases_at = tables.leases_row(cell)
    change = stores.Change(
        expected={at: previous.version if previous else 0},
        writes={
            at: rows.to_json(row),
            leases_at: lease_rows.leases_to_bytes(leases),
        },
    )
    if leases_version is not None:
        change.expected[leases_at] = leases_version
    version = await stores.commit_with_retry(
        store, change, give_up_at_s=anyio.current_time() + CLAIM_TIMEOUT_S
    )
    return Claim(cell=cell, row=row, version=version)


@dataclasses.dataclass(slots=True, kw_only=True)
class CellLoad:
    """Load of a cell as its holder reports it.

    Attributes:
        epoch: Epoch of the claim under which the cell is held.
        capacity_millicores: CPU of the usable workers.
        free_millicores: CPU that no task has reserved or waits for; below 0
            if more is wanted than there is.
        left_millicores: CPU that is expected to stay unused, less what
            waiting fillers request.
        backlog_millicore_s: Estimated work of fillers that is not done yet.
        rate_millicores: Estimated work of fillers done in a second.
        pending: Number of jobs that are not timed and have not begun, by
            queue.
        waiting: Number of ready tasks that have no worker.
        workers: Number of workers.
        racks: Racks of the workers.
        free: The usable workers with what no task has reserved.
        total: The workers with all of their capacity, without those that
            drain.
        requested: Standing tasks that have run and for which the cell will
            have no room; it asks the other cells to keep some.
        reserved: Room for standing tasks that the cell keeps for others, one
            worker for each task.
        silent_workers: Number of workers with runs that do not answer, so
            that nobody knows whether these runs go on.
        as_of: Version of the store up to which `unanswered` is complete.
        unanswered: Tasks whose runs were assigned and whose starts have not
            been answered, or were not for a time; None if they are too many.
        long_leases_s: For how long leases may still run that may outlast the
            term of the hold, by worker, as a next instance of its process may
            have taken an order; None if they are too many.
    """

    epoch: bounds.Number = 0
    capacity_millicores: bounds.Number = 0
    free_millicores: bounds.Balance = 0
    left_millicores: bounds.Balance = 0
    backlog_millicore_s: bounds.Number = 0
    rate_millicores: bounds.Number = 0
    pending: dict[bounds.Name, bounds.Number] = dataclasses.field(
        default_factory=dict
    )
    waiting: bounds.Number = 0
    workers: bounds.Number = 0
    racks: list[bounds.Name] = dataclasses.field(default_factory=list)
    free: list[worker_groups.WorkerGroup] = dataclasses.field(
        default_factory=list
    )
    total: list[worker_groups.WorkerGroup] = dataclasses.field(
        default_factory=list
    )
    requested: list[capacity_requests.CapacityRequest] = dataclasses.field(
        default_factory=list
    )
    reserved: list[worker_groups.WorkerGroup] = dataclasses.field(
        default_factory=list
    )
    silent_workers: bounds.Number = 0
    as_of: bounds.Number = 0
    unanswered: list[bounds.Name] | None = None
    long_leases_s: dict[bounds.Name, bounds.Measure] | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class HostHeartbeat:
    """Heartbeat of a host.

    Attributes:
        zone: Its availability zone.
        incarnation: Identifier of its process.
        count: Increases by one with each heartbeat.
        cells: Load of each cell that it holds, by name.
        is_leaving: Whether it is draining.
        cores: CPU that it may use, in cores; 0 if unknown.
        period_s: Time until its next heartbeat; 0 if unknown.
        age_s: For how long its process has run.
        ended: Incarnations of former processes of the host, which have ended.
        given_up: Versions of the claims under which it no longer holds a
            cell, by cell.
        given_up_s: For how long it has no longer held them, by cell.
        address: Address at which other hosts reach it, as host:port; empty
            if there is none.
        witnesses: Processes of the hosts that have to confirm its holds while
            the store does not answer it, by host; None if its leases are not
            bounded by its signs of life, as in earlier releases.
    """

    zone: bounds.Name
    incarnation: bounds.Name
    count: bounds.Number
    cells: dict[bounds.Name, CellLoad] = dataclasses.field(
        default_factory=dict
    )
    is_leaving: bool = False
    cores: bounds.Measure = 0.0
    period_s: bounds.Measure = 0.0
    age_s: bounds.Measure = 0.0
    ended: list[bounds.Name] = dataclasses.field(default_factory=list)
    given_up: dict[bounds.Name, bounds.Number] = dataclasses.field(
        default_factory=dict
    )
    given_up_s: dict[bounds.Name, bounds.Measure] = dataclasses.field(
        default_factory=dict
    )
    address: bounds.Name = ""
    witnesses: dict[bounds.Name, bounds.Name] | None = None


def read_heartbeat(row: stores.StoredRow) -> HostHeartbeat:
    """Return the heartbeat in a row of the store.

    Args:
        row: The row.

    Raises:
        MessageError: The row can't be decoded.
    """
    return rows.from_json(row.value or b"", HostHeartbeat)


def heartbeat_to_bytes(heartbeat: HostHeartbeat) -> bytes:
    """Return a heartbeat, encoded as the value of its row.

    Args:
        heartbeat: The heartbeat.
    """
    return rows.to_json(heartbeat)


def trim_heartbeat(heartbeat: HostHeartbeat) -> HostHeartbeat:
    """Return a heartbeat that fits into a row.

    If there are too many queues or racks, those with the most pending jobs
    and the first racks are kept.

    Args:
        heartbeat: The heartbeat.
    """
    found, kept = heartbeat, MAX_TRIMMED
    while len(heartbeat_to_bytes(found)) > stores.MAX_ROW_BYTES and kept:
        found = dataclasses.replace(
            heartbeat,
            cells={
                cell: _trim_load(load, kept)
                for cell, load in heartbeat.cells.items()
            },
        )
        kept //= 2
    return found


def _trim_load(load: CellLoad, kept: int) -> CellLoad:
    most = sorted(load.pending.items(), key=lambda item: -item[1])
    return dataclasses.replace(
        load, pending=dict(most[:kept]), racks=load.racks[:kept]
    )
