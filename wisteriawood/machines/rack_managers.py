"""Claims, verifies and releases racks, and adopts their tasks."""

import typing

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.contracts import terms
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms
from wisteriawood.machines import racks
from wisteriawood.machines import workers
from wisteriawood.telemetry import events
from wisteriawood.zones import claims
from wisteriawood.zones import probes

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers

RACK_CHECK_PERIOD_S = 1.0
FORMER_HOLDER_CHECK_PERIOD_S = 2.0
# A holder that has not renewed its member row for this long is probed.
PROBE_HOLDER_AFTER_S = 2.5

_LOG = events.Logger(name=__name__)


class RackManager:
    """Manages the rows by which a scheduler holds racks of its zone.

    Args:
        scheduler: The scheduler that holds the racks.
        dial_peer: Opens a channel to the peer at an address.
    """

    __slots__ = ("_dial_peer", "_probes", "_scheduler")

    def __init__(
        self, *, scheduler: "schedulers.Scheduler", dial_peer: typing.Any
    ):
        self._dial_peer = dial_peer
        self._scheduler = scheduler
        self._probes = probes.Prober(
            dial_peer=dial_peer,
            suspects=self._suspects,
            on_dead=self._mark_dead,
        )

    async def run(self) -> None:
        """Check the racks and their former holders until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._check_racks_forever)
            group.start_soon(self._check_former_holders_forever)
            group.start_soon(self._probes.run)

    def _suspects(self) -> list[holdings.MemberRow]:
        """Return the rack holders whose member rows are not renewed."""
        members = self._scheduler.membership
        now_s = anyio.current_time()
        return [
            observed.member
            for (role, name), observed in members.observed_members.items()
            if role == holdings.Role.SCHEDULER
            and name in self._scheduler.rack_holders
            and observed.member.peer_address
            and observed.member.incarnation not in members.dead
            and now_s - observed.first_seen_s > PROBE_HOLDER_AFTER_S
        ]

    def _mark_dead(self, member: holdings.MemberRow) -> None:
        self._scheduler.membership.dead.add(member.incarnation)
        _LOG.log(events.SCHEDULER_DEAD, scheduler=member.name)

    async def _check_racks_forever(self) -> None:
        while True:
            if self._scheduler.membership.holds_term():
                try:
                    await self._check_racks()
                except errors.PlatformError:
                    pass
            with anyio.move_on_after(RACK_CHECK_PERIOD_S):
                await self._scheduler.membership.changed.wait()

    async def _check_racks(self) -> None:
        # The start of the term is read first, so that the rows read below
        # are newer than it.
        since_s = self._scheduler.membership.term.unbroken_since_s()
        hosts = [
            host
            for host in await self._scheduler.platform.hosts()
            if host.zone == self._scheduler.zone
        ]
        self._scheduler.placer.update_capacities(hosts)
        prefix = keys.racks(self._scheduler.zone)
        found = {
            row.key.removeprefix(prefix): row
            for row in await platforms.scan_all(
                self._scheduler.platform, prefix
            )
        }
        self._scheduler.rack_holders = {
            rows.from_value(row.value, holdings.RackHolding).holder
            for row in found.values()
        } - {""}
        for name in list(self._scheduler.racks):
            self._verify_rack(name, found.get(name), since_s)
        for name in sorted({host.rack for host in hosts} | set(found)):
            if name in self._scheduler.racks:
                continue
            claim = claims.find_claim(
                self._scheduler.membership, name, found.get(name)
            )
            if claim is not None:
                await self._claim_rack(claim, since_s)
        self._scheduler.counters.racks_held.set(len(self._scheduler.racks))
        self._update_hosts(hosts)

    def _verify_rack(
        self, name: str, row: platforms.Row | None, since_s: float | None
    ) -> None:
        rack = self._scheduler.racks[name]
        if row is not None:
            holding = rows.from_value(row.value, holdings.RackHolding)
            is_own = holding.incarnation == rack.holding.incarnation
            if is_own and holding.epoch == rack.holding.epoch:
                rack.version = row.version
                rack.verified_term_start_s = since_s
                rack.term_ends_s = self._term_ends_s()
                return
        del self._scheduler.racks[name]
        _LOG.log(events.RACK_LOST, rack=name)

    async def _claim_rack(
        self, claim: claims.ClaimProposal, since_s: float | None
    ) -> None:
        rack = await claims.commit(
            self._scheduler.platform, self._scheduler.membership.own, claim
        )
        if rack is None:
            return
        name = rack.holding.rack
        found = await platforms.scan_all(
            self._scheduler.platform,
            keys.placed_on_rack(self._scheduler.zone, name),
        )
        rack.verified_term_start_s = since_s
        rack.term_ends_s = self._term_ends_s()
        self._scheduler.racks[name] = rack
        for row in found:
            self._adopt_task(rack, row)
        _LOG.log(
            events.RACK_CLAIMED,
            rack=name,
            epoch=rack.holding.epoch,
            tasks=len(found),
        )

    def _term_ends_s(self) -> float:
        return self._scheduler.membership.term.ends_at_s() or 0.0

    def _adopt_task(self, rack: racks.Rack, row: platforms.Row) -> None:
        task = rows.from_value(row.value, tasks.Task)
        worker = rack.workers.get(task.worker)
        if worker is None:
            # The worker may be missing from the host list.
            worker = self._scheduler.add_worker(
                rack, task.worker, task.worker_address, resources.NOTHING
            )
        worker.add(
            workers.Placement(
                task=task,
                version=row.version,
                allocated=task.spec.needs,
                is_committed=True,
                is_adopted=True,
                lease_ends_s=rack.former_leases_until_s,
                not_after_s=anyio.current_time()
                + terms.COMMAND_VALIDITY_S
                + terms.DRIFT_MARGIN_S,
            )
        )

    def _update_hosts(self, hosts: list[platforms.Host]) -> None:
        listed = set()
        for host in hosts:
            rack = self._scheduler.racks.get(host.rack)
            if rack is None:
                continue
            if host.kind == platforms.HostKind.TARGET:
                rack.update_target(host)
                continue
            listed.add(host.name)
            worker = rack.workers.get(host.name)
            if worker is None or worker.has_new_address(host.address):
                worker = self._scheduler.add_worker(
                    rack, host.name, host.address, host.capacity
                )
            worker.set_leaving(
                host.leaving or self._scheduler.drains.is_requested(host.name)
            )
        for rack in self._scheduler.racks.values():
            rack.remove_missing_workers(listed)

    async def _check_former_holders_forever(self) -> None:
        """Detect former holders of racks whose processes are dead."""
        while True:
            racks_by_former: dict[str, list[racks.Rack]] = {}
            for rack in self._scheduler.racks.values():
                if rack.former_holder is not None:
                    held = racks_by_former.setdefault(
                        rack.former_holder.incarnation, []
                    )
                    held.append(rack)
            for held in racks_by_former.values():
                if await self._is_dead(held[0].former_holder):
                    for rack in held:
                        rack.mark_former_dead()
                        _LOG.log(
                            events.FORMER_HOLDER_GONE, rack=rack.holding.rack
                        )
            await anyio.sleep(FORMER_HOLDER_CHECK_PERIOD_S)

    async def _is_dead(self, former: holdings.MemberRow) -> bool:
        observed = self._scheduler.membership.observed_members.get(
            (former.role, former.name)
        )
        if observed and observed.member.incarnation != former.incarnation:
            return True
        return await probes.refuses_connections(self._dial_peer, former)

    async def release(self) -> None:
        """Release the racks, recording how long their leases may last."""
        await self._scheduler.commits.flush()
        async with anyio.create_task_group() as group:
            for rack in list(self._scheduler.racks.values()):
                group.start_soon(self._release_rack, rack)

    async def _release_rack(self, rack: racks.Rack) -> None:
        released = holdings.RackHolding(
            zone=self._scheduler.zone,
            rack=rack.holding.rack,
            epoch=rack.holding.epoch,
            lease_left_s=rack.lease_left_s(),
        )
        condition = rack.condition()
        write = platforms.Write(
            key=condition.key, value=rows.to_value(released)
        )
        try:
            await self._scheduler.commits.commit(
                conditions=[condition], writes=[write]
            )
        except errors.PlatformError:
            return
        del self._scheduler.racks[rack.holding.rack]
        _LOG.log(events.RACK_RELEASED, rack=rack.holding.rack)
