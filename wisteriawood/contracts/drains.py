"""Operators' requests to drain a host."""

import dataclasses
import enum


class DrainKind(enum.StrEnum):
    """Kinds of hosts that can be drained."""

    ENTRY = "entry"
    WORKER = "worker"


@dataclasses.dataclass(slots=True, kw_only=True)
class DrainOrder:
    """The row of a request; the host stays drained while it exists.

    Attributes:
        kind: Kind of the host.
        name: Name of the host.
        author: Operator who requested it.
        ordered_unix_s: Wall time of the request in seconds.
    """

    kind: DrainKind
    name: str
    author: str = ""
    ordered_unix_s: float = 0.0
