"""Slot grants: shares of a target's slots held by entry hosts."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotGrant:
    """Slots of one target that an entry host may use.

    Attributes:
        target: Id of the target.
        address: Address of the target, as host:port.
        team: Team that owns the service.
        service: Service that the target runs.
        slots: Number of slots granted.
        rack: Rack of the target.
        epoch: Epoch of the grantor's rack holding.
        leaving: Whether the target accepts no new requests.
    """

    target: str
    address: str
    team: str
    service: str
    slots: int
    rack: str = ""
    epoch: int = 0
    leaving: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotHolding:
    """Slots of one target that an entry host reports as held.

    Attributes:
        target: Id of the target.
        slots: Number of slots that the entry host holds.
        in_flight: Requests of the entry host that may be at the target.
        rack: Rack of the target.
        epoch: Epoch of the grant.
    """

    target: str
    slots: int
    in_flight: int = 0
    rack: str = ""
    epoch: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class RackClaim:
    """A rack holding, as grantors and entry hosts exchange it.

    A grantor claims the slots of a rack's targets with it. An entry host
    replies with the newest epoch that it has received.

    Attributes:
        rack: Name of the rack.
        epoch: Epoch of the holding.
    """

    rack: str
    epoch: int
