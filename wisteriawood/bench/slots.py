"""Measures the bytes and CPU time of a link that grants slots."""

import time

import anyio

from wisteriawood.bench import base
from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood.links.codecs import cbor
from wisteriawood.links import peers
from wisteriawood.machines import entry_hosts
from wisteriawood.machines import grantors
from wisteriawood.machines import racks
from wisteriawood.machines import slot_clients
from wisteriawood.machines import slot_ledgers
from wisteriawood.machines import targets
from wisteriawood.standins import platforms
from wisteriawood.telemetry import metrics
from wisteriawood.telemetry import spans
from wisteriawood.zones import membership

TARGET_COUNTS = (35, 350)
ROUNDS = 200
REPORTS_PER_S = 1 / slot_clients.REPORT_PERIOD_S
MAX_LINK_BYTES_PER_S = 5000.0
SLOTS = 8


class UnusedTargetLink:
    """A link to a target that is never called."""

    __slots__ = ()

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Return an empty answer."""
        return requests.Answer(request_id=request.id)

    async def aclose(self) -> None:
        """Do nothing."""


def _member(name: str, role: holdings.Role) -> holdings.MemberRow:
    return holdings.MemberRow(
        name=name,
        role=role,
        zone="linz-a",
        incarnation=f"{role}-{name}",
        peer_address=f"{name}:1",
    )


def _make_rack(size: int) -> racks.Rack:
    holding = holdings.RackHolding(
        zone="linz-a", rack="rack-1", holder="s", epoch=1
    )
    rack = racks.Rack(holding=holding, version=1)
    for number in range(size):
        name = f"target-{number}.1"
        rack.targets[name] = targets.TargetSlots(
            id=name,
            address=f"10.0.0.{number % 250}:8000",
            team="kroupa",
            service="gloves",
            slots=SLOTS,
            since_epoch=1,
        )
    return rack


async def _make_grantor_and_client(
    size: int,
) -> tuple[grantors.Grantor, slot_clients.SlotClient]:
    platform = platforms.MemoryPlatform()
    member = _member("e", holdings.Role.ENTRY)
    entry = entry_hosts.EntryHost(
        platform=platform,
        member=member,
        counters=metrics.EntryMetrics(),
        tracer=spans.Tracer(service="bench"),
        rng=None,
        dial_target=lambda *, address, connections: UnusedTargetLink(),
    )
    own = _member("s", holdings.Role.SCHEDULER)
    members = membership.Membership(platform=platform, own=own)
    await entry.membership.renew()
    await members.renew()
    await members.scan()
    grantor = grantors.Grantor(
        members=members,
        held={"rack-1": _make_rack(size)},
        stopping=anyio.Event(),
        on_slowdown=lambda target, slowdown: None,
        dial_peer=peers.connect,
    )
    return grantor, entry.slot_client


def _exchange(
    grantor: grantors.Grantor,
    client: slot_clients.SlotClient,
    session: slot_clients.GrantorSession,
    holder: slot_ledgers.SlotHolder,
    sequence: int,
) -> tuple[float, float, int]:
    """Exchange a report and an update.

    Returns:
        CPU seconds of the entry host, CPU seconds of the grantor, and bytes
        of both messages.
    """
    started_s = time.process_time()
    now_s = anyio.current_time()
    report = cbor.encode(client.report(session, sequence, now_s))
    reported_s = time.process_time()
    update = cbor.encode(grantor.answer(holder, cbor.decode(report)))
    answered_s = time.process_time()
    client.apply_update(session, cbor.decode(update), now_s)
    applied_s = time.process_time()
    entry_s = applied_s - answered_s + reported_s - started_s
    return entry_s, answered_s - reported_s, len(report) + len(update)


async def _measure(size: int) -> list[base.Measurement]:
    grantor, client = await _make_grantor_and_client(size)
    member = _member("e", holdings.Role.ENTRY)
    holder = grantor.open(member)
    session = slot_clients.GrantorSession(
        grantor=_member("s", holdings.Role.SCHEDULER)
    )
    rounds = [
        _exchange(grantor, client, session, holder, sequence)
        for sequence in range(1, ROUNDS + 4)
    ]
    # The grants are sent in the first three rounds; later rounds are idle.
    first_bytes = sum(size_bytes for _e, _g, size_bytes in rounds[:3])
    idle = rounds[3:]
    entry_us = 1e6 * sum(entry_s for entry_s, _g, _b in idle) / len(idle)
    grantor_us = 1e6 * sum(grantor_s for _e, grantor_s, _b in idle) / len(idle)
    idle_bytes = sum(size_bytes for _e, _g, size_bytes in idle) / len(idle)
    area = f"slots/{size}-targets"
    return [
        base.Measurement(
            name=f"{area}/first-grants",
            value=first_bytes / size,
            unit="B/target",
        ),
        base.Measurement(
            name=f"{area}/quiet-link",
            value=idle_bytes * REPORTS_PER_S,
            unit="B/s",
            at_most=MAX_LINK_BYTES_PER_S,
        ),
        base.Measurement(
            name=f"{area}/entry-host",
            value=entry_us * REPORTS_PER_S,
            unit="us/s",
        ),
        base.Measurement(
            name=f"{area}/grantor",
            value=grantor_us * REPORTS_PER_S,
            unit="us/s",
        ),
    ]


@base.BENCHMARKS.register("slots")
def bench_slots() -> list[base.Measurement]:
    """Measure one link between an entry host and a grantor."""
    return [
        measurement
        for size in TARGET_COUNTS
        for measurement in anyio.run(_measure, size)
    ]
