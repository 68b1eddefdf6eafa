"""Slot grants: shares of a target's slots held by entry hosts."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotGrant:
    """Slots of one target that an entry host may fill.

    Attributes:
        target: Id of the target.
        address: Address of the target, as host:port.
        team: Team that owns the service.
        service: Service that the target runs.
        slots: Number of slots granted.
        rack: Rack of the target.
        epoch: Epoch of the grantor's rack holding.
        leaving: Whether the target takes no new requests.
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
    """What an entry host says of its share of one target.

    Attributes:
        target: Id of the target.
        slots: Slots that it holds.
        in_flight: Requests of its own that may be at the target.
        rack: Rack of the target.
        epoch: Epoch of the grant that it holds.
    """

    target: str
    slots: int
    in_flight: int = 0
    rack: str = ""
    epoch: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class RackClaim:
    """A rack holding, as told between a grantor and an entry host.

    A grantor claims the slots of a rack's targets with it. An entry host
    answers with the newest epoch that it knows.

    Attributes:
        rack: Name of the rack.
        epoch: Epoch of the holding.
    """

    rack: str
    epoch: int
