"""Claims: which scheduler takes which rack."""

import hashlib

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.machines import racks
from wisteriawood.zones import membership


def _weight(member: str, item: str) -> bytes:
    return hashlib.blake2b(f"{member}/{item}".encode()).digest()


def is_preferred(watcher: membership.Membership, item: str) -> bool:
    """Tell whether rendezvous hashing gives an item to this scheduler.

    Args:
        watcher: Membership of this scheduler.
        item: Name of a rack or task.
    """
    own = watcher.own
    names = {
        member.name
        for member in watcher.live(holdings.Role.SCHEDULER, zone=own.zone)
        if member.state == holdings.HostState.LIVE
    }
    names.add(own.name)
    return own.name == max(names, key=lambda name: _weight(name, item))


def rank(names: set[str], own: str, item: str) -> int:
    """Return the place of a member in the order of an item, from 0.

    Args:
        names: Names of all members that could take the item.
        own: Name of the member whose place is asked for.
        item: Name of the item.
    """
    weight = _weight(own, item)
    return sum(1 for name in names if _weight(name, item) > weight)


def may_claim(
    watcher: membership.Membership, name: str, row: platforms.Row | None
) -> bool:
    """Tell whether this scheduler may claim a rack.

    Args:
        watcher: Membership of this scheduler.
        name: Name of the rack.
        row: The rack's row, or None if there is none.
    """
    if not is_preferred(watcher, name):
        return False
    if row is None:
        return True
    holding = rows.from_value(row.value, holdings.RackHolding)
    if not holding.holder:
        return True
    key = (holdings.Role.SCHEDULER, holding.holder)
    sighting = watcher.sightings.get(key)
    if sighting is None:
        return False
    if sighting.member.incarnation != holding.incarnation:
        # The host has started anew, so the holder's process is dead.
        return True
    if sighting.member.state == holdings.HostState.GONE:
        return True
    return sighting.is_lapsed(now_s=anyio.current_time())


async def claim(
    platform: platforms.Platform,
    own: holdings.MemberRow,
    name: str,
    row: platforms.Row | None,
) -> racks.Rack | None:
    """Claim a rack under the next epoch.

    Args:
        platform: Link to the platform.
        own: Member row of this scheduler.
        name: Name of the rack.
        row: The rack's row as it was read, or None.

    Returns:
        The rack, or None if another scheduler was faster.

    Raises:
        PlatformUnavailableError: Nothing was written.
    """
    epoch = 0
    if row is not None:
        epoch = rows.from_value(row.value, holdings.RackHolding).epoch
    holding = holdings.RackHolding(
        zone=own.zone,
        rack=name,
        holder=own.name,
        incarnation=own.incarnation,
        epoch=epoch + 1,
    )
    key = keys.rack(own.zone, name)
    transaction = platforms.Transaction(
        conditions=[
            platforms.Condition(key=key, version=row.version if row else 0)
        ],
        writes=[platforms.Write(key=key, value=rows.to_value(holding))],
    )
    result = await platforms.commit_settled(platform, transaction)
    if not result.committed:
        return None
    return racks.Rack(holding=holding, version=result.version)
