"""A host that takes jobs in and holds cells."""

import functools
import time
import typing
import uuid

import anyio
from anyio import abc

from wisteriawood.cells import cells
from wisteriawood.cells import claims
from wisteriawood.cells import holders
from wisteriawood.cells import loads
from wisteriawood.cells import members
from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.machines import takeovers
from wisteriawood.policies import registry
from wisteriawood.policies import spreading
from wisteriawood.policies.spreading import base as spreading_base
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events
from wisteriawood.telemetry import job_metrics

_LOG = events.Logger(name=__name__)
LOOK_PERIOD_S = 0.2
# Time for which a host of a cell's own zone must have been lively before
# a holder in another zone gives the cell back.
GIVE_BACK_S = 2.0
# Time without an answer of the store after which callers are refused at
# once; the feed asks several times in it.
STORE_AWAY_S = 1.0
# Time within which a store call must have worked for a host to be ready.
READY_STORE_S = 2.5


class JobHost:
    """Takes jobs in, and holds cells of its zone.

    Args:
        name: Name of the host.
        zone: Its availability zone.
        zones: All availability zones.
        store: The store.
        dial: Opens the link to a worker.
        lease_s: Length of the workers' leases.
        keep_s: Time for which the state of an ended job can be asked.
        policy: Name of the spreading policy.
        cores: Processor that the host may use, in cores; 0 if unknown.

    Attributes:
        on_claim: Called when this host claims a cell.
    """

    __slots__ = (
        "_claimed",
        "_dial",
        "_fleet",
        "_group",
        "_holders",
        "_keep_s",
        "_lease_s",
        "_policy",
        "_scopes",
        "_takeovers",
        "counters",
        "is_draining",
        "members",
        "name",
        "on_claim",
        "queues",
        "store",
        "zone",
        "zones",
    )

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        zones: typing.Iterable[str],
        store: stores.Store,
        dial: holders.Dial,
        lease_s: float,
        keep_s: float,
        policy: str = spreading_base.DEFAULT,
        cores: float = 0.0,
    ):
        self.name = name
        self.zone = zone
        self.zones = sorted(zones)
        self.store = store
        self._dial = dial
        self._lease_s = lease_s
        self._keep_s = keep_s
        registry.load_modules(spreading)
        self._policy = spreading_base.POLICIES.get(policy)()
        self.counters = job_metrics.JobMetrics()
        self.members = members.Members(
            store=store,
            name=name,
            zone=zone,
            incarnation=uuid.uuid4().hex,
            cores=cores,
        )
        self.queues: queues.QueueTable | None = None
        self.is_draining = False
        self.on_claim: typing.Callable[[], None] = lambda: None
        self._fleet: dict[str, runners.Registration] = {}
        self._holders: dict[str, holders.Holder] = {}
        self._claimed = anyio.Event()
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._group: abc.TaskGroup | None = None
        self._takeovers = takeovers.Takeovers(
            known=self.members, dial=dial, fleet_of=self._fleet_of
        )

    def use_queues(self, table: queues.QueueTable) -> None:
        """Put a version of the configuration in force.

        Args:
            table: Its queues.
        """
        if self.queues is not None and table.version <= self.queues.version:
            return
        self.queues = table
        _LOG.log(
            job_events.QUEUES_ADOPTED,
            version=table.version,
            queues=len(table.queues),
        )

    def use_fleet(self, fleet: dict[str, runners.Registration]) -> None:
        """Take in the directory of workers.

        Args:
            fleet: All workers by id.
        """
        self._fleet = fleet
        for name, holder in self._holders.items():
            holder.update_fleet(self._fleet_of(name))

    def _fleet_of(self, cell: str) -> dict[str, runners.Registration]:
        service = tables.service_of_cell(cell)
        zone = tables.zone_of_cell(cell)
        return {
            worker_id: found
            for worker_id, found in self._fleet.items()
            if found.service == service and found.zone == zone
        }

    def open_cells(self) -> list[str]:
        """Return the cells that this host works for."""
        return [name for name, h in self._holders.items() if h.is_open]

    def is_holding(self) -> bool:
        """Tell whether this host holds a cell, or is about to open one."""
        return bool(self._holders)

    def has_workers(self, cell: str) -> bool:
        """Tell whether the directory lists a worker of a cell.

        Args:
            cell: Name of the cell.
        """
        return bool(self._fleet_of(cell))

    def zone_of_racks(self, racks: set[str]) -> str:
        """Return the zone that most of some racks are in; empty if none.

        Args:
            racks: Names of racks.
        """
        if not racks:
            return ""
        zones = [
            found.zone for found in self._fleet.values() if found.rack in racks
        ]
        return max(sorted(set(zones)), key=zones.count, default="")

    def is_store_away(self) -> bool:
        """Tell whether the store has not answered for a while."""
        feed = self.members.beat_feed
        lost_s = anyio.current_time() - feed.heard_at_s
        return not feed.steady_since_s and lost_s > STORE_AWAY_S

    def not_ready(self) -> str:
        """Return why the host takes no new connections; empty if it does."""
        if self.is_draining:
            return "draining"
        if self.queues is None:
            return "no configuration yet"
        feed = self.members.beat_feed
        if anyio.current_time() - feed.heard_at_s > READY_STORE_S:
            return "the store does not answer"
        return ""

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self.members.claim_feed.run)
            group.start_soon(self.members.beat_feed.run)
            group.start_soon(self._beat_forever)
            await self._look_forever()

    async def _beat_forever(self) -> None:
        while True:
            held = {
                name: loads.report(holder.cell)
                for name, holder in self._holders.items()
                if holder.is_open
            }
            is_written = await self.members.beat(held)
            is_idle = is_written and not self._holders
            # A claim must show in a heartbeat soon.
            with anyio.move_on_after(
                members.IDLE_BEAT_S if is_idle else members.BEAT_S
            ):
                await self._claimed.wait()
                self._claimed = anyio.Event()

    def _wanted_cells(self) -> list[str]:
        services = self.queues.services() if self.queues else set()
        services |= {found.service for found in self._fleet.values()}
        return sorted(
            tables.cell_name(service, zone)
            for service in services
            for zone in self.zones
        )

    async def _look_forever(self) -> None:
        while True:
            await anyio.sleep(LOOK_PERIOD_S)
            if self.is_draining or not self.members.claim_feed.heard_at_s:
                continue
            self._share_loads()
            for cell in self._wanted_cells():
                if cell in self._holders:
                    self._check_held(cell)
                elif await self._takeovers.should_claim(
                    cell, len(self._holders)
                ):
                    await self._claim(cell, self.members.claims.get(cell))

    def _share_loads(self) -> None:
        """Tell each held cell how the others of its service stand."""
        lively = self.members.lively_cells()
        for name, holder in self._holders.items():
            service = tables.service_of_cell(name)
            holder.cell.other_loads = {
                other: load
                for other, load in lively.items()
                if other != name and tables.service_of_cell(other) == service
            }

    def _check_held(self, cell: str) -> None:
        """Let go of a cell that another host holds, or should."""
        claim = self.members.claims.get(cell)
        held = self._holders[cell].cell.claim
        if claim is not None and claim.version > held.version:
            self._scopes[cell].cancel()
            return
        count = len(self._holders)
        if not self._takeovers.has_better_holder(cell, count):
            return
        if not self._holders[cell].is_open:
            return
        steady_s = min(
            anyio.current_time() - self.members.beat_feed.steady_since_s,
            self._holders[cell].age_s(),
        )
        if steady_s > GIVE_BACK_S and self._group is not None:
            self._group.start_soon(self.release, cell)

    async def _claim(self, cell: str, before: claims.Claim | None) -> None:
        beats = {
            name: member.beat for name, member in self.members.members.items()
        }
        try:
            claim = await claims.claim_cell(
                self.store, cell, before, self.name, self.members.incarnation
            )
        except errors.PlatformError as exc:
            _LOG.log(job_events.CLAIM_FAILED, cell=cell, cause=str(exc))
            return
        self.members.note_claim(claim)
        self.on_claim()
        self._claimed.set()
        _LOG.log(
            job_events.CELL_CLAIMED,
            cell=cell,
            epoch=claim.epoch,
            former=before.row.holder if before else "",
            silent_s=round(
                self.members.silence_s(before.row.holder) if before else 0, 3
            ),
        )
        holder = holders.Holder(
            cell=cells.Cell(
                claim=claim,
                store=self.store,
                policy=self._policy,
                counters=self.counters,
            ),
            zones=self.zones,
            dial=self._dial,
            lease_s=self._lease_s,
            keep_s=self._keep_s,
            former_may_live=holders.former_may_live(before, beats),
        )
        holder.update_fleet(self._fleet_of(cell))
        self._holders[cell] = holder
        self._scopes[cell] = anyio.CancelScope()
        self.counters.cells_held.set(len(self._holders))
        if self._group is not None:
            self._group.start_soon(self._hold, cell, holder)

    async def _hold(self, cell: str, holder: holders.Holder) -> None:
        try:
            with self._scopes[cell]:
                await holder.run()
        except* tables.CellLostError as group:
            cause = str(group.exceptions[0])
            _LOG.log(job_events.CELL_LOST, cell=cell, cause=cause)
        finally:
            if self._holders.get(cell) is holder:
                del self._holders[cell]
                del self._scopes[cell]
            self.counters.cells_held.set(len(self._holders))

    async def release(self, cell: str) -> None:
        """Let go of a cell, so that another host claims it at once.

        Leases are renewed until the store has taken the release.

        Args:
            cell: The cell.
        """
        holder = self._holders.get(cell)
        if holder is None:
            return
        try:
            claim = await claims.claim_cell(
                self.store,
                cell,
                holder.cell.claim,
                "",
                self.members.incarnation,
            )
        except errors.PlatformError as exc:
            _LOG.log(job_events.RELEASE_FAILED, cell=cell, cause=str(exc))
            return
        if self._holders.get(cell) is holder:
            self._scopes[cell].cancel()
        self.members.note_claim(claim)
        _LOG.log(job_events.CELL_RELEASED, cell=cell, epoch=claim.epoch)

    async def drain(self) -> None:
        """Let go of all cells."""
        self.is_draining = True
        self.members.is_leaving = True
        async with anyio.create_task_group() as group:
            for cell in list(self._holders):
                group.start_soon(functools.partial(self.release, cell))

    def now_unix_ms(self) -> int:
        """Return the wall time in milliseconds."""
        return int(time.time() * 1000)
