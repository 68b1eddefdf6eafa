"""Messages between the hosts of the system."""

import dataclasses
import enum
import typing

from wisteriawood.contracts import configurations
from wisteriawood.contracts import grants
from wisteriawood.contracts import holdings
from wisteriawood.links.codecs import bounds

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
    """Purpose of a link."""

    SLOTS = "slots"
    PEER = "peer"


@message("hello")
@dataclasses.dataclass(slots=True, kw_only=True)
class Hello:
    """First message in each direction; it identifies the sender.

    Attributes:
        member: The sender's member row.
        config_version: Version of the configuration that the sender has.
        topic: Purpose of the link.
    """

    member: holdings.MemberRow
    config_version: int = configurations.NO_VERSION
    topic: Topic = Topic.SLOTS


@message("heartbeat")
@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Sent periodically by both ends of a peer link.

    Attributes:
        config_version: Version of the configuration that the sender has.
        follows_peers: Whether the sender can't read the platform and
            receives the configuration from its peers.
    """

    config_version: int
    follows_peers: bool = False


@message("slot-report")
@dataclasses.dataclass(slots=True, kw_only=True)
class SlotReport:
    """Slots that an entry host holds on the grantor's targets.

    An entry host sends a report only after it has received the answer
    to the previous one, so that each report reflects all grants so far.

    Attributes:
        sequence: Increases by one with each report on a link.
        answers: Claims that are answered; for their racks, `holdings` is
            complete.
        holdings: Holdings that changed since the last report.
        demand: Slots that it could use, by team/service; only changes.
        slowdowns: Latency of slow targets relative to that of the other
            targets of their service, by target.
        is_draining: Whether the entry host is returning its slots.
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
    """A grantor's answer to a report; it renews the existing grants.

    Attributes:
        sequence: Sequence number of the report that it answers.
        horizon_s: Seconds for which the grants may be retained without
            a further update.
        claims: Racks that the grantor has just claimed; the next report
            answers them.
        withdrawn: Racks that the grantor no longer holds.
        granted: Grants that differ from the slots that the entry host
            holds.
    """

    sequence: int
    horizon_s: float = 0.0
    claims: list[grants.RackClaim] = dataclasses.field(default_factory=list)
    withdrawn: list[str] = dataclasses.field(default_factory=list)
    granted: list[grants.SlotGrant] = dataclasses.field(default_factory=list)


@message("config-wanted")
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigWanted:
    """Requests the configuration from a peer.

    Attributes:
        have: Version that the sender has; below 0 for none.
    """

    have: int


@message("config-changes")
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigChanges:
    """Changes of the configuration, forwarded to a peer.

    Attributes:
        changes: The changes, oldest first.
    """

    changes: list[configurations.ConfigChange]


@message("config-offer")
@dataclasses.dataclass(slots=True, kw_only=True)
class ConfigOffer:
    """A complete version of the configuration, forwarded to a peer.

    Attributes:
        snapshot: The complete configuration with its version.
    """

    snapshot: configurations.ConfigSnapshot


@message("hold-question")
@dataclasses.dataclass(slots=True, kw_only=True)
class HoldQuestion:
    """Asks a host whether its hold of a cell has ended, as it should.

    Attributes:
        cell: Name of the cell.
        host: Host that has claimed it.
        epoch: Epoch of its claim.
        version: Version of its claim.
        former_host: Host that is asked.
        former_incarnation: Identifier of the process that claimed it before.
        former_version: Version of the claim of that process.
    """

    cell: bounds.Name
    host: bounds.Name
    epoch: bounds.Amount
    version: bounds.Number
    former_host: bounds.Name
    former_incarnation: bounds.Name
    former_version: bounds.Number


@message("hold-answer")
@dataclasses.dataclass(slots=True, kw_only=True)
class HoldAnswer:
    """Tells whether a former hold has ended; all times are durations.

    Attributes:
        cell: Name of the cell.
        host: Host that answers.
        incarnation: Identifier of its process.
        former_version: Version of the claim that the question is about.
        has_ended: Whether nobody renews leases under that claim any more.
        ended_s: For how long that has been so at least.
        by_worker_s: For how long the leases of silent workers that were
            granted under that claim may still run.
        has_granted: Whether any lease may have been granted under it.
        unanswered_s: For how long starts that were not answered may still
            take effect, by task.
    """

    cell: bounds.Name
    host: bounds.Name
    incarnation: bounds.Name
    former_version: bounds.Number
    has_ended: bool = False
    ended_s: bounds.Measure = 0.0
    by_worker_s: dict[bounds.Name, bounds.Measure] = dataclasses.field(
        default_factory=dict
    )
    has_granted: bool = True
    unanswered_s: dict[bounds.Name, bounds.Measure] = dataclasses.field(
        default_factory=dict
    )


@message("witness-request")
@dataclasses.dataclass(slots=True, kw_only=True)
class WitnessRequest:
    """Asks a host whether it knows no newer claims of held cells.

    Attributes:
        host: Host that holds the cells.
        claims: Versions of its claims, by cell.
    """

    host: bounds.Name
    claims: dict[bounds.Name, bounds.Number]


@message("witness-answer")
@dataclasses.dataclass(slots=True, kw_only=True)
class WitnessAnswer:
    """Confirms holds of cells.

    Attributes:
        host: Host that answers.
        incarnation: Identifier of its process.
        confirmed: Cells of the request of which it knows no newer claim.
    """

    host: bounds.Name
    incarnation: bounds.Name
    confirmed: list[bounds.Name] = dataclasses.field(default_factory=list)


@message("term-question")
@dataclasses.dataclass(slots=True, kw_only=True)
class TermQuestion:
    """Asks a witness when it last confirmed a former hold, and for no more.

    Attributes:
        cell: Name of the cell.
        host: Host that has claimed it.
        version: Version of its claim.
        former_version: Version of the claim of the former holder.
    """

    cell: bounds.Name
    host: bounds.Name
    version: bounds.Number
    former_version: bounds.Number


@message("term-answer")
@dataclasses.dataclass(slots=True, kw_only=True)
class TermAnswer:
    """Tells when a witness last confirmed a former hold.

    Attributes:
        cell: Name of the cell.
        host: Host that answers.
        incarnation: Identifier of its process.
        former_version: Version of the claim that the question is about.
        unconfirmed_s: For how long this process has not confirmed that hold;
            the age of the process if it never did.
        age_s: Age of the process.
    """

    cell: bounds.Name
    host: bounds.Name
    incarnation: bounds.Name
    former_version: bounds.Number
    unconfirmed_s: bounds.Measure = 0.0
    age_s: bounds.Measure = 0.0
