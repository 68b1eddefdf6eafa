"""Claims of cells: which host holds which, under which epoch."""

import dataclasses

import anyio
import msgspec

from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import stores

# Time in which a claim must be settled, or it is left to others.
CLAIM_TIMEOUT_S = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimRow:
    """Row of a claim.

    Attributes:
        holder: Host that holds the cell; empty once it let go.
        incarnation: Start of the holder's process that holds it.
        epoch: Grows by one with each claim.
    """

    holder: str
    incarnation: str
    epoch: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Claim:
    """A claim as it stands in the store.

    Attributes:
        cell: Name of the cell.
        row: The claim.
        version: Version of its row.
    """

    cell: str
    row: ClaimRow
    version: int

    @property
    def epoch(self) -> int:
        """Epoch of the claim."""
        return self.row.epoch


def read_claim(row: stores.StoredRow) -> Claim:
    """Return the claim that a row holds.

    Raises:
        MessageError: The row can't be read.
    """
    return Claim(
        cell=row.at.key,
        row=rows.from_json(row.value or b"", ClaimRow),
        version=row.version,
    )


async def claim_cell(
    store: stores.Store,
    cell: str,
    before: Claim | None,
    host: str,
    incarnation: str,
) -> Claim:
    """Claim a cell for a host.

    Args:
        store: The store.
        cell: The cell.
        before: The claim that stands now; None if there is none.
        host: The host; empty to let go of the cell.
        incarnation: Start of its process.

    Raises:
        ChangeConflictError: Another host was first.
        PlatformError: The claim could not be settled in time.
    """
    row = ClaimRow(
        holder=host,
        incarnation=incarnation,
        epoch=(before.epoch if before else 0) + (1 if host else 0),
    )
    at = tables.claim_row(cell)
    change = stores.Change(
        expected={at: before.version if before else 0},
        writes={at: rows.to_json(row)},
    )
    version = await stores.commit_settled(
        store, change, give_up_at_s=anyio.current_time() + CLAIM_TIMEOUT_S
    )
    return Claim(cell=cell, row=row, version=version)


@dataclasses.dataclass(slots=True, kw_only=True)
class HostBeat:
    """Heartbeat of a host.

    Attributes:
        zone: Its availability zone.
        incarnation: Start of its process.
        count: Grows by one with each heartbeat.
        cells: Load of the cells that it holds, by name.
        is_leaving: Whether it will stop soon.
        cores: Processor that it may use, in cores; 0 if unknown.
    """

    zone: str
    incarnation: str
    count: int
    cells: dict[str, dict] = dataclasses.field(default_factory=dict)
    is_leaving: bool = False
    cores: float = 0.0


def read_beat(row: stores.StoredRow) -> HostBeat:
    """Return the heartbeat that a row holds.

    Raises:
        MessageError: The row can't be read.
    """
    try:
        return msgspec.json.decode(row.value or b"", type=HostBeat)
    except msgspec.DecodeError as exc:
        raise errors.MessageError(f"bad heartbeat: {exc}") from exc


def beat_to_bytes(beat: HostBeat) -> bytes:
    """Return the row of a heartbeat.

    Args:
        beat: The heartbeat.
    """
    return msgspec.json.encode(beat)
