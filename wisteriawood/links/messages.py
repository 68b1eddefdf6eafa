"""Messages between entry hosts and schedulers."""

import dataclasses
import enum
import typing

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
    config_version: int = 0
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
    """An entry host's whole view of the slots that it holds here.

    Attributes:
        sequence: Grows by one with each report on a link.
        holdings: One entry for each target of this scheduler.
        wanted: Further slots that it could use, by team/service.
    """

    sequence: int
    holdings: list[grants.SlotHolding]
    wanted: dict[str, int] = dataclasses.field(default_factory=dict)


@message("slot-update")
@dataclasses.dataclass(slots=True, kw_only=True)
class SlotUpdate:
    """A scheduler's answer to a report: what the entry host may hold.

    Attributes:
        sequence: Sequence of the report that it answers.
        grants: One entry for each target; a target left out is revoked.
    """

    sequence: int
    grants: list[grants.SlotGrant]


@message("config-offer")
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigOffer:
    """A whole version of the configuration, passed on to a peer.

    Attributes:
        version: Version number.
        document: The configuration of this version.
    """

    version: int
    document: dict[str, typing.Any]
