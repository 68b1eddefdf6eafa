"""Decides which scheduler may claim a rack, and commits the claim."""

import dataclasses
import hashlib

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import terms
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.machines import racks
from wisteriawood.zones import membership


def _rendezvous_weight(member: str, item: str) -> bytes:
    return hashlib.blake2b(f"{member}/{item}".encode()).digest()


def is_preferred(members: membership.Membership, item: str) -> bool:
    """Return whether rendezvous hashing assigns an item to this scheduler.

    Args:
        members: Membership of this scheduler.
        item: Name of a rack or task.
    """
    own = members.own
    names = {
        member.name
        for member in members.live(holdings.Role.SCHEDULER, zone=own.zone)
        if member.state == holdings.HostState.LIVE
    }
    names.add(own.name)
    return own.name == max(
        names, key=lambda name: _rendezvous_weight(name, item)
    )


def rank(names: set[str], own: str, item: str) -> int:
    """Return the rank of a member in the rendezvous order of an item, from 0.

    Args:
        names: Names of all members that the item may be assigned to.
        own: Name of the member to rank.
        item: Name of the item.
    """
    weight = _rendezvous_weight(own, item)
    return sum(1 for name in names if _rendezvous_weight(name, item) > weight)


def find_claim(
    members: membership.Membership, name: str, row: platforms.Row | None
) -> "ClaimProposal | None":
    """Return the claim that this scheduler may make on a rack, if any.

    A holder's term has ended once its member row has stayed unchanged for
    longer than the term, or once its process is known to have ended. The
    claim is conditional on the version of that row, so that a renewal sent
    in the meantime takes precedence.

    Args:
        members: Membership of this scheduler.
        name: Name of the rack.
        row: The rack's row, or None if there is none.
    """
    holding = holdings.RackHolding(zone=members.own.zone, rack=name)
    if row is not None:
        holding = rows.from_value(row.value, holdings.RackHolding)
    claim = ClaimProposal(holding=holding, version=row.version if row else 0)
    if holding.incarnation == members.own.incarnation:
        # This process claimed the rack, but could not read its tasks.
        claim.lease_left_s = terms.HORIZON_S + terms.DRIFT_MARGIN_S
        claim.former_renews_s = claim.lease_left_s
        return claim
    if not is_preferred(members, name):
        return None
    if not holding.holder:
        if holding.epoch:
            claim.former_renews_s = holding.lease_left_s + terms.DRIFT_MARGIN_S
            claim.lease_left_s = claim.former_renews_s
        return claim
    key = (holdings.Role.SCHEDULER, holding.holder)
    observed = members.observed_members.get(key)
    if observed is None:
        members.watch_missing(_member_of_holding(holding))
        return None
    is_dead = holding.incarnation in members.dead
    return _find_takeover(claim, observed, is_dead=is_dead)


def _member_of_holding(holding: holdings.RackHolding) -> holdings.MemberRow:
    return holdings.MemberRow(
        name=holding.holder,
        role=holdings.Role.SCHEDULER,
        zone=holding.zone,
        incarnation=holding.incarnation,
        peer_address="",
    )


def _find_takeover(
    claim: "ClaimProposal",
    observed: membership.ObservedMember,
    *,
    is_dead: bool,
) -> "ClaimProposal | None":
    now_s = anyio.current_time()
    claim.lease_left_s = terms.HORIZON_S + terms.DRIFT_MARGIN_S
    claim.former_renews_s = terms.COMMAND_VALIDITY_S + terms.DRIFT_MARGIN_S
    if observed.member.incarnation != claim.holding.incarnation:
        if observed.member.former_incarnation == claim.holding.incarnation:
            return claim
        # The host has restarted. The previous process can't renew the row
        # any more, and its last term ends within one term of the new row.
        wait_s = terms.PLACEMENT_TERM_S + terms.DRIFT_MARGIN_S
        return claim if now_s - observed.started_s > wait_s else None
    claim.conditions.append(
        platforms.Condition(
            key=keys.member(holdings.Role.SCHEDULER, claim.holding.holder),
            version=observed.version,
        )
    )
    if is_dead or observed.member.state == holdings.HostState.GONE:
        # Commands that it sent to workers expire after COMMAND_VALIDITY_S.
        return claim
    if not observed.is_expired(now_s=now_s):
        return None
    claim.former_holder = observed.member
    claim.former_renews_s = claim.lease_left_s
    return claim


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimProposal:
    """A claim that a scheduler may make on a rack that it does not hold.

    Attributes:
        holding: The rack's row as it was read.
        version: Version of that row; 0 if there is none.
        former_holder: Member row of the former holder; None if it is unknown
            or its process has ended.
        lease_left_s: Seconds until all leases of former holders have
            expired.
        former_renews_s: Seconds for which a former holder may still renew
            leases.
        conditions: Further conditions of the transaction.
    """

    holding: holdings.RackHolding
    version: int
    former_holder: holdings.MemberRow | None = None
    lease_left_s: float = 0.0
    former_renews_s: float = 0.0
    conditions: list[platforms.Condition] = dataclasses.field(
        default_factory=list
    )


async def commit(
    platform: platforms.Platform, own: holdings.MemberRow, claim: ClaimProposal
) -> racks.Rack | None:
    """Claim a rack under the next epoch.

    Args:
        platform: Link to the platform.
        own: Member row of this scheduler.
        claim: The claim to commit.

    Returns:
        The rack, or None if a row that the claim depends on has changed.

    Raises:
        PlatformUnavailableError: Nothing was written.
    """
    before = claim.holding
    holding = holdings.RackHolding(
        zone=own.zone,
        rack=before.rack,
        holder=own.name,
        incarnation=own.incarnation,
        epoch=before.epoch + 1,
    )
    key = keys.rack(own.zone, before.rack)
    condition = platforms.Condition(key=key, version=claim.version)
    transaction = platforms.Transaction(
        conditions=[condition, *claim.conditions],
        writes=[platforms.Write(key=key, value=rows.to_value(holding))],
    )
    result = await platforms.commit_with_retry(platform, transaction)
    if not result.committed:
        return None
    rack = racks.Rack(
        holding=holding,
        version=result.version,
        former_holder=claim.former_holder,
    )
    now_s = anyio.current_time()
    rack.former_renews_until_s = now_s + claim.former_renews_s
    rack.former_leases_until_s = now_s + claim.lease_left_s
    return rack
