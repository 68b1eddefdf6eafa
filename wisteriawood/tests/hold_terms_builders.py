"""Builders of holds, signs of life and hosts that are out of touch."""

from unittest import mock

import anyio

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import hold_terms
from wisteriawood.cells import members
from wisteriawood.cells import tables
from wisteriawood.links import messages

CELL = "shop@a"
LEASE_S = 6.0


def make_term(*, claimed_s=0.0, witnesses=None, read_s=0.0):
    """Return a term with its signs and its witness sets."""
    signs, sets = hold_terms.Signs(), hold_terms.WitnessSets()
    if witnesses is not None:
        sets.record_sent(witnesses)
        sets.record_answered()
    term = hold_terms.HoldTerm(
        claimed_s=claimed_s,
        signs=signs,
        witness_sets=sets,
        claims_read_s=lambda: read_s,
    )
    return term, signs, sets


def make_view(*, name="new", witnesses=None, written_by_s=0.0):
    """Return the view of a host that knows the former holder `former`."""
    view = members.Members(
        store=None, name=name, zone="a", incarnation=f"{name}-1"
    )
    view.by_name["former"] = members.Member(
        heartbeat=claims.HostHeartbeat(
            zone="a", incarnation="f-1", count=1, witnesses=witnesses
        ),
        heartbeat_seen_at_s=written_by_s,
        written_by_s=written_by_s,
    )
    return view


def make_claim(version=1):
    """Return the claim of the host `former`."""
    row = claims.ClaimRow(holder="former", incarnation="f-1", epoch=1)
    return claims.Claim(cell=CELL, row=row, version=version)


def make_hold(*, claimed_by_s=0.0):
    """Return the hold of the host `former`."""
    return former_holders.FormerHold(
        claim=make_claim(),
        latest_s=100.0,
        lapse_s=LEASE_S,
        claimed_by_s=claimed_by_s,
    )


def make_answer(host, *, process, unconfirmed_s, age_s=100.0):
    """Return what a witness answers about the hold."""
    return messages.TermAnswer(
        cell=CELL,
        host=host,
        incarnation=process,
        former_version=1,
        unconfirmed_s=unconfirmed_s,
        age_s=age_s,
    )


def hold_together(world, name, host):
    """Let only one host reach a worker, and no other worker reach it."""
    for worker in world.workers.values():
        worker.cut_from.update(world.hosts.keys() - {host})
    world.add_worker("other", "a")
    world.workers["other"].cut_from.add(host)
    world.workers[name].cut_from.discard(host)


def cut_links(world, near, far):
    """Cut the links between two groups of hosts."""
    world.cut_links.update(
        frozenset((one, other)) for one in near for other in far
    )


def find_claim(world):
    """Return the host that holds the cell by its newest claim."""
    return claims.read_claim(world.store.rows[tables.claim_row(CELL)])


async def wait_for_other_claim(world, former, timeout_s=8.0):
    """Wait until another host has claimed the cell; return its name."""
    with anyio.fail_after(timeout_s):
        while find_claim(world).row.holder in ("", *former):
            await anyio.sleep(0.02)
    return find_claim(world).row.holder


def keep_claims_unknown(host):
    """Return a context in which a host learns of no claim of other hosts."""
    record_claim = members.Members.record_claim

    def _record(view, claim):
        if view is not host.members or claim.row.holder == view.name:
            record_claim(view, claim)

    return mock.patch.object(members.Members, "record_claim", _record)
