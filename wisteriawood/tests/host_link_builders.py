"""Builders of claims, questions and channels between job hosts."""

import contextlib
import socket

from wisteriawood.cells import claims
from wisteriawood.cells import former_holders
from wisteriawood.cells import members
from wisteriawood.links import messages

CELL = "shop@a"


class ScriptedChannel:
    """A channel on which each question gets the same answer, or error."""

    def __init__(self, answer):
        self._answer = answer

    async def send(self, _message):
        """Drop a message."""

    async def receive(self):
        """Return the answer, or raise it."""
        if isinstance(self._answer, Exception):
            raise self._answer
        return self._answer


def make_dial(answer):
    """Return a function that dials hosts that all give an answer."""

    @contextlib.asynccontextmanager
    async def _dial(_address):
        yield ScriptedChannel(answer)

    return _dial


def make_claim(*, holder, version, epoch=1, incarnation="i"):
    """Return a claim of CELL."""
    row = claims.ClaimRow(holder=holder, incarnation=incarnation, epoch=epoch)
    return claims.Claim(cell=CELL, row=row, version=version)


def make_hold(*, latest_s, version=20):
    """Return a hold of the host `former`."""
    return former_holders.FormerHold(
        claim=make_claim(holder="former", version=version),
        latest_s=latest_s,
        lapse_s=6.0,
    )


def make_members(*, name, incarnation="i", **fields):
    """Return the view of a host that knows the host `former`."""
    view = members.Members(
        store=None, name=name, zone="a", incarnation=incarnation, **fields
    )
    view.by_name["former"] = members.Member(
        heartbeat=claims.HostHeartbeat(
            zone="a", incarnation="i", count=1, address="10.0.0.1:7720"
        ),
        heartbeat_seen_at_s=0.0,
        written_by_s=0.0,
    )
    return view


def make_question(**fields):
    """Return a question of the host `new` to the host `former`."""
    values = {
        "cell": CELL,
        "host": "new",
        "epoch": 3,
        "version": 30,
        "former_host": "former",
        "former_incarnation": "i",
        "former_version": 20,
    }
    return messages.HoldQuestion(**(values | fields))


def make_answer(**fields):
    """Return the answer that a hold of `former` has ended."""
    values = {
        "cell": CELL,
        "host": "former",
        "incarnation": "i",
        "former_version": 20,
        "has_ended": True,
    }
    return messages.HoldAnswer(**(values | fields))


def find_port():
    """Return a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
