"""Messages between entry hosts and schedulers."""

import dataclasses
import enum
import typing

from wisteriawood.contracts import configurations
from wisteriawood.contracts import grants
from wisteriawood.contracts import holdings

TYPES: dict[str, type] = {}


def message(name: str) -> typing.Callable[[type], type]:
    """Return a decorator that registers a message type.

    Args:
        name: Name of the type on the wire.
    """

    def _add(cls: type) -> type:
        TYPES[name] = cls
        return cls

    return _add


class Topic(enum.StrEnum):
    """What a link is for."""

    SLOTS = "slots"
    PEER = "peer"


@message("hello")
@dataclasses.dataclass(slots=True, kw_only=True)
class Hello:
    """First message in each direction: who speaks.

    Attributes:
        member: The sender's member row.
        config_version: Version of the configuration that it has.
        topic: What the link is for.
    """

    member: holdings.MemberRow
    config_version: int = configurations.NO_VERSION
    topic: Topic = Topic.SLOTS


@message("heartbeat")
@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Sent by both ends of a peer link once a period.

    Attributes:
        config_version: Version of the configuration that the sender has.
        follows_peers: Whether the sender can't read the platform and
            follows the configuration through its peers.
    """

    config_version: int
    follows_peers: bool = False


@message("slot-report")
@dataclasses.dataclass(slots=True, kw_only=True)
class SlotReport:
    """What an entry host holds of the grantor's targets.

    An entry host sends the next report only after the answer to the
    last, so that a report always tells what came of the grants before.

    Attributes:
        sequence: Grows by one with each report on a link.
        answers: Claims answered; the holdings of these racks are whole.
        holdings: Holdings that changed since the last report.
        demand: Slots that it could fill, by team/service; those changed.
        slowdowns: Latency of slow targets against that of their peers.
        is_draining: Whether it returns what it holds.
    """

    sequence: int
    answers: list[grants.RackClaim] = dataclasses.field(default_factory=list)
    holdings: list[grants.SlotHolding] = dataclasses.field(
        default_factory=list
    )
    demand: dict[str, float] = dataclasses.field(default_factory=dict)
    slowdowns: dict[str, float] = dataclasses.field(default_factory=dict)
    is_draining: bool = False


@message("slot-update")
@dataclasses.dataclass(slots=True, kw_only=True)
class SlotUpdate:
    """A grantor's answer to a report; it renews what it has granted.

    Attributes:
        sequence: Sequence of the report that it answers.
        horizon_s: Seconds for which the grants may be kept without any
            further word.
        claims: Racks newly held; the next report answers them.
        withdrawn: Racks that the grantor holds no longer.
        granted: Grants that differ from what the entry host holds.
    """

    sequence: int
    horizon_s: float = 0.0
    claims: list[grants.RackClaim] = dataclasses.field(default_factory=list)
    withdrawn: list[str] = dataclasses.field(default_factory=list)
    granted: list[grants.SlotGrant] = dataclasses.field(default_factory=list)


@message("config-wanted")
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigWanted:
    """Asks a peer for the configuration that it has.

    Attributes:
        have: Version that the sender has; below 0 for none.
    """

    have: int


@message("config-changes")
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigChanges:
    """Changes of the configuration, passed on to a peer.

    Attributes:
        changes: The changes, oldest first.
    """

    changes: list[configurations.ConfigChange]


@message("config-offer")
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigOffer:
    """A whole version of the configuration, passed on to a peer.

    Attributes:
        snapshot: The version.
    """

    snapshot: configurations.ConfigSnapshot
