"""What the store tells about the leases in a cell, whoever holds it.

The row of a cell's leases names the workers whose leases nobody extends until
a later version of the row no longer names them, and the holds whose leases
may still run. Each claim and each release replaces it in the same transaction,
and a holder replaces it under the condition of its claim. So at the time of a
claim it is exact, and what a holder knew outlives its process.
"""

import dataclasses
import typing

from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import rows

# Most workers that a row or an answer to another host names, and the size of
# their part.
MAX_WITHHELD = 500
MAX_WITHHELD_BYTES = 18_000
# Most starts without an answer that it names, and the size of their part. With
# both and the former holds it fits into a row, and into a message.
MAX_UNANSWERED = 1000
MAX_UNANSWERED_BYTES = 40_000
# Most former holds that a row names.
MAX_FORMER = 8
# Most bytes of one duration with what separates it from the next, in a row and
# in a message.
_DURATION_BYTES = 12


@dataclasses.dataclass(slots=True, kw_only=True)
class FormerHoldRow:
    """A hold of the cell whose leases may still run.

    Attributes:
        holder: Host that held the cell; empty if it is not known.
        incarnation: Identifier of its process.
        version: Version of its claim.
        lapses_in_s: Time after which all leases granted under it have
            lapsed.
    """

    holder: bounds.Name
    incarnation: bounds.Name
    version: bounds.Number
    lapses_in_s: bounds.Measure


@dataclasses.dataclass(slots=True, kw_only=True)
class LeasesRow:
    """Row of a cell's leases; all times but one are durations.

    A holder is replaced when the row is written, which is later than when the
    durations were taken.

    Attributes:
        number: Increases with each version of the row.
        taken_ms: Latest time that the store's clock may have shown when the
            durations were taken; 0 if it was not known.
        withheld_s: For how long the leases that are not extended may still
            run, by worker.
        former: Former holds whose leases may still run, the newest last.
        unanswered_s: For how long starts that were not answered may still
            take effect, by task.
    """

    number: bounds.Number = 0
    taken_ms: bounds.Measure = 0.0
    withheld_s: dict[bounds.Name, bounds.Measure] = dataclasses.field(
        default_factory=dict
    )
    former: list[FormerHoldRow] = dataclasses.field(default_factory=list)
    unanswered_s: dict[bounds.Name, bounds.Measure] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class StoredLeases:
    """A row of leases as this host has read it.

    Attributes:
        row: The row.
        version: Its version.
        is_readable: Whether it could be decoded; an odd one tells nothing.
        written_by_s: Monotonic time by which it was certainly written.
        taken_by_s: Monotonic time by which its durations were certainly
            taken; the same or earlier.
    """

    row: LeasesRow
    version: int
    is_readable: bool = True
    written_by_s: float
    taken_by_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class LeasesLeft:
    """For how long leases that a hold has granted may still run after it.

    Attributes:
        by_worker_s: Longest time left, by worker; silent workers only.
        has_granted: Whether any lease may have been granted under the hold.
        unanswered_s: For how long starts that were not answered may still
            take effect, by task.
    """

    by_worker_s: dict[bounds.Name, bounds.Measure] = dataclasses.field(
        default_factory=dict
    )
    has_granted: bool = True
    unanswered_s: dict[bounds.Name, bounds.Measure] = dataclasses.field(
        default_factory=dict
    )


def bound_withheld(names: typing.Iterable[str]) -> list[str]:
    """Return the first of many workers, as many as there is room for.

    Args:
        names: Their ids, the most important first.
    """
    return _take_first(names, MAX_WITHHELD, MAX_WITHHELD_BYTES)


def bound_unanswered(names: typing.Iterable[str]) -> list[str]:
    """Return the first of many tasks, as many as there is room for.

    Args:
        names: Their names, the most important first.
    """
    return _take_first(names, MAX_UNANSWERED, MAX_UNANSWERED_BYTES)


def _take_first(
    names: typing.Iterable[str], max_count: int, max_bytes: int
) -> list[str]:
    found: list[str] = []
    left_bytes = max_bytes
    for name in names:
        left_bytes -= len(rows.to_json(name)) + _DURATION_BYTES
        if left_bytes < 0 or len(found) >= max_count:
            break
        found.append(name)
    return found


def bound_former(former: list[FormerHoldRow]) -> list[FormerHoldRow]:
    """Return former holds, of which the oldest are merged if they are many.

    Args:
        former: The holds, the newest last.
    """
    surplus = len(former) - MAX_FORMER + 1
    if surplus <= 1:
        return former
    merged = FormerHoldRow(
        holder="",
        incarnation="",
        version=0,
        lapses_in_s=max(hold.lapses_in_s for hold in former[:surplus]),
    )
    return [merged, *former[surplus:]]


def read_leases(value: bytes | None) -> LeasesRow:
    """Return the row of leases in a row of the store.

    Args:
        value: Value of the row.

    Raises:
        MessageError: It can't be decoded.
    """
    return rows.from_json(value or b"", LeasesRow)


def leases_to_bytes(row: LeasesRow) -> bytes:
    """Return a row of leases, encoded as the value of its row.

    Args:
        row: The row.
    """
    return rows.to_json(row)
