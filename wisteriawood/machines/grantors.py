"""Grants the slots of targets to entry hosts, for a scheduler."""

import typing

import anyio

from wisteriawood.contracts import grants
from wisteriawood.contracts import holdings
from wisteriawood.contracts import requests
from wisteriawood.contracts import terms
from wisteriawood.links import channels
from wisteriawood.links import messages
from wisteriawood.machines import quarantines
from wisteriawood.machines import racks
from wisteriawood.machines import shares
from wisteriawood.machines import slot_ledgers
from wisteriawood.machines import targets
from wisteriawood.telemetry import events
from wisteriawood.zones import membership
from wisteriawood.zones import probes

REVIEW_PERIOD_S = 0.25
# An entry host that has sent nothing for this long is probed.
PROBE_ENTRY_HOST_AFTER_S = 1.5
RECLAIM_SLOTS_AFTER_S = terms.SLOT_TERM_S + terms.DRIFT_MARGIN_S

_LOG = events.Logger(name=__name__)


class Grantor:
    """Grants the slots of the targets on the scheduler's racks.

    Args:
        members: Membership of the scheduler.
        held: Racks that the scheduler holds, by name.
        stopping: Set once the scheduler stops.
        on_slowdown: Called with the id of a target and the ratio of its
            latency to that of its peers, as an entry host measured it.
        dial_peer: Opens a channel to the peer at an address.
    """

    __slots__ = (
        "_entry_members",
        "_held_racks",
        "_members",
        "_on_slowdown",
        "_probes",
        "_quarantines",
        "_stopping",
        "holders",
        "ledgers",
    )

    def __init__(
        self,
        *,
        members: membership.Membership,
        held: dict[str, racks.Rack],
        stopping: anyio.Event,
        on_slowdown: typing.Callable[[str, float], None],
        dial_peer: typing.Callable,
    ):
        self._members = members
        self._held_racks = held
        self._stopping = stopping
        self._on_slowdown = on_slowdown
        self._entry_members: dict[str, holdings.MemberRow] = {}
        self._probes = probes.Prober(
            dial_peer=dial_peer,
            suspects=self._suspects,
            on_dead=self.mark_dead,
        )
        self._quarantines = quarantines.Quarantines(members=members)
        self.ledgers: dict[str, slot_ledgers.SlotLedger] = {}
        self.holders: dict[str, slot_ledgers.SlotHolder] = {}

    async def run(self) -> None:
        """Reclaim the slots of unresponsive entry hosts until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._probes.run)
            while True:
                self.review()
                await anyio.sleep(REVIEW_PERIOD_S)

    def _suspects(self) -> list[holdings.MemberRow]:
        """Return the entry hosts from which a message is overdue."""
        now_s = anyio.current_time()
        unanswered = {
            incarnation
            for ledger in self.ledgers.values()
            if now_s - ledger.claimed_s > PROBE_ENTRY_HOST_AFTER_S
            for incarnation in ledger.unanswered_until_s or ()
            if not self._quarantines.is_dead(incarnation)
        }
        found = {
            member.incarnation: member
            for member in self._entry_members.values()
            if member.incarnation in unanswered
        }
        for incarnation, holder in self.holders.items():
            if now_s - holder.updated_s > PROBE_ENTRY_HOST_AFTER_S:
                found[incarnation] = holder.member
        return list(found.values())

    def review(self) -> None:
        """Update the ledgers for changed racks, members and time limits."""
        now_s = anyio.current_time()
        self._sync_ledgers(now_s)
        for holder in list(self.holders.values()):
            if self._may_reclaim_slots(holder, now_s):
                self._reclaim_slots(holder, now_s)
        for ledger in self.ledgers.values():
            if ledger.unanswered_until_s is None:
                self._list_unanswered(ledger, now_s)
        self._read_members(now_s)
        for quarantine in self._quarantines.review(now_s=now_s):
            self._apply_quarantine(quarantine)
        for ledger in self.ledgers.values():
            ledger.review(now_s=now_s)

    def _sync_ledgers(self, now_s: float) -> None:
        for name, rack in self._held_racks.items():
            ledger = self.ledgers.get(name)
            if ledger is None or ledger.claim.epoch != rack.holding.epoch:
                claim = grants.RackClaim(rack=name, epoch=rack.holding.epoch)
                self.ledgers[name] = slot_ledgers.SlotLedger(
                    claim=claim, now_s=now_s
                )
        for name in set(self.ledgers) - set(self._held_racks):
            del self.ledgers[name]

    def _list_unanswered(
        self, ledger: slot_ledgers.SlotLedger, now_s: float
    ) -> None:
        """Record which entry hosts may hold slots of earlier grantors.

        Does nothing until the members have been read after the rack was
        claimed.
        """
        if not self._members.scanned_since(ledger.claimed_s):
            return
        until_s = (
            now_s
            + terms.HORIZON_S
            + terms.DRIFT_MARGIN_S
            + requests.MAX_REQUEST_S
        )
        ledger.unanswered_until_s = {
            observed.member.incarnation: until_s
            for (role, _), observed in self._members.observed_members.items()
            if role == holdings.Role.ENTRY
            and observed.member.zone == self._members.own.zone
            and observed.member.state != holdings.HostState.GONE
            and observed.member.incarnation not in ledger.answered
        }

    def _read_members(self, now_s: float) -> None:
        for (role, name), observed in self._members.observed_members.items():
            member = observed.member
            if role != holdings.Role.ENTRY:
                continue
            before = self._entry_members.get(name)
            self._entry_members[name] = member
            if before is not None and member.replaces(before):
                self.mark_dead(before)
            if member.state == holdings.HostState.GONE:
                # It returned all its slots before it stopped.
                for ledger in self.ledgers.values():
                    ledger.quarantine(
                        member.incarnation, until_s=now_s, is_dead=True
                    )

    def _may_reclaim_slots(
        self, holder: slot_ledgers.SlotHolder, now_s: float
    ) -> bool:
        silent_s = now_s - holder.updated_s
        if silent_s > terms.HORIZON_S + terms.DRIFT_MARGIN_S:
            return True
        if silent_s <= RECLAIM_SLOTS_AFTER_S or not self._members.holds_term():
            return False
        since_s = self._members.term.unbroken_since_s()
        # If the term was interrupted since, the entry host may have read
        # that it ended, and may keep its slots until the horizon so that
        # another scheduler can take over.
        return since_s is not None and since_s <= holder.updated_s

    def _reclaim_slots(
        self, holder: slot_ledgers.SlotHolder, now_s: float
    ) -> None:
        self._open_quarantine(holder.member, now_s=now_s, is_dead=False)
        _LOG.log(events.SLOTS_TAKEN_BACK, entry=holder.member.name)

    def _open_quarantine(
        self, member: holdings.MemberRow, *, now_s: float, is_dead: bool
    ) -> None:
        """Quarantine the shares of a process that sends no new requests."""
        holder = self.holders.pop(member.incarnation, None)
        if holder is not None:
            holder.is_closed = True
        self._apply_quarantine(
            self._quarantines.open(member, ended_s=now_s, is_dead=is_dead)
        )

    def _apply_quarantine(self, quarantine: quarantines.Quarantine) -> None:
        for ledger in self.ledgers.values():
            ledger.quarantine(
                quarantine.member.incarnation,
                until_s=quarantine.until_s(),
                is_dead=quarantine.is_dead,
            )

    def mark_dead(self, member: holdings.MemberRow) -> None:
        """Record that a process of an entry host is proved dead.

        Args:
            member: Member row of the process.
        """
        self._open_quarantine(member, now_s=anyio.current_time(), is_dead=True)
        _LOG.log(events.ENTRY_HOST_DEAD, entry=member.name)

    async def serve(
        self, hello: messages.Hello, channel: channels.Channel
    ) -> None:
        """Serve the link to an entry host until it is closed.

        Args:
            hello: The entry host's Hello message.
            channel: Channel to the entry host.

        Raises:
            LinkError: The link failed.
        """
        holder = self.open(hello.member)
        await channel.send(messages.Hello(member=self._members.own))
        while not self._stopping.is_set():
            report = await channel.receive()
            if holder.is_closed or self._stopping.is_set():
                return
            await channel.send(self.answer(holder, report))

    def open(self, member: holdings.MemberRow) -> slot_ledgers.SlotHolder:
        """Register a link to an entry host; it replaces any earlier one.

        Args:
            member: The entry host's member row.
        """
        for other in list(self.holders.values()):
            if member.replaces(other.member):
                self.mark_dead(other.member)
        self._quarantines.drop(member.incarnation)
        before = self.holders.get(member.incarnation)
        now_s = anyio.current_time()
        holder = slot_ledgers.SlotHolder(member=member, now_s=now_s)
        if before is not None:
            before.is_closed = True
            holder.updated_s = before.updated_s
        for ledger in self.ledgers.values():
            # The slots it held on the earlier link stay counted until it
            # answers the claim on this one.
            ledger.answered.discard(member.incarnation)
        self.holders[member.incarnation] = holder
        _LOG.log(events.PEER_CONNECTED, peer=member.name)
        return holder

    def answer(
        self, holder: slot_ledgers.SlotHolder, report: messages.SlotReport
    ) -> messages.SlotUpdate:
        """Apply a report and return the update to send in reply.

        Args:
            holder: The entry host.
            report: Report of the entry host.
        """
        self.review()
        self._apply_report(holder, report)
        now_s = anyio.current_time()
        update = messages.SlotUpdate(
            sequence=report.sequence, horizon_s=self._horizon_s(now_s)
        )
        incarnation = holder.member.incarnation
        renewed = set()
        for name, ledger in self.ledgers.items():
            if ledger.is_lost:
                continue
            if incarnation in ledger.answered:
                renewed.add(name)
                update.granted.extend(self._changed_grants(holder, ledger))
            else:
                update.claims.append(ledger.claim)
        update.withdrawn = sorted(holder.renewed - renewed)
        holder.renewed = renewed
        holder.updated_s = now_s
        return update

    def _horizon_s(self, now_s: float) -> float:
        ends_at_s = self._members.term.ends_at_s()
        if ends_at_s is None:
            return 0.0
        confirmed_s = ends_at_s - self._members.term.duration_s
        return max(0.0, confirmed_s + terms.HORIZON_S - now_s)

    def _apply_report(
        self, holder: slot_ledgers.SlotHolder, report: messages.SlotReport
    ) -> None:
        incarnation = holder.member.incarnation
        holder.is_draining = report.is_draining
        holder.demand.update(report.demand)
        for target, slowdown in report.slowdowns.items():
            self._on_slowdown(target, slowdown)
        for answer in report.answers:
            ledger = self.ledgers.get(answer.rack)
            if ledger is None:
                continue
            if answer.epoch > ledger.claim.epoch:
                ledger.is_lost = True
            elif answer.epoch == ledger.claim.epoch:
                ledger.clear_shares(incarnation)
                ledger.answered.add(incarnation)
                unanswered = ledger.unanswered_until_s or {}
                unanswered.pop(incarnation, None)
        for held in report.holdings:
            ledger = self.ledgers.get(held.rack)
            if ledger is None or incarnation not in ledger.answered:
                continue
            share = ledger.target(held.target).share(incarnation)
            share.held = held.slots

    def _changed_grants(
        self, holder: slot_ledgers.SlotHolder, ledger: slot_ledgers.SlotLedger
    ) -> list[grants.SlotGrant]:
        rack = self._held_racks.get(ledger.claim.rack)
        if rack is None:
            return []
        # The next holder of the rack finds in the member table which entry
        # hosts it must ask, so only listed ones get more slots.
        is_listed = self._members.has_row_of(holder.member)
        may_grant = is_listed and self._members.holds_term()
        changed = []
        for target in rack.targets.values():
            # No earlier holder can have granted slots of a target that was
            # started in this epoch.
            is_new = target.since_epoch == ledger.claim.epoch
            may_allot = may_grant and (is_new or ledger.is_complete())
            grant = self._changed_grant(
                holder, ledger, target, may_allot=may_allot
            )
            if grant is not None:
                changed.append(grant)
        return changed

    def _changed_grant(
        self,
        holder: slot_ledgers.SlotHolder,
        ledger: slot_ledgers.SlotLedger,
        target: targets.TargetSlots,
        *,
        may_allot: bool,
    ) -> grants.SlotGrant | None:
        """Return the new grant, or None if the entry host already has it."""
        incarnation = holder.member.incarnation
        target_shares = ledger.target(target.id)
        share = target_shares.share(incarnation)
        if target.leaving or holder.is_draining:
            share.granted = 0
        elif may_allot:
            target_shares.allot(
                holder=incarnation,
                fair=self._fair_shares(target).get(incarnation, 0),
                free=target.slots - target_shares.counted(),
            )
        else:
            share.granted = share.held
        is_known = (
            share.is_announced and share.is_leaving_announced == target.leaving
        )
        if is_known and share.granted == share.held:
            return None
        share.is_announced = True
        share.is_leaving_announced = target.leaving
        return grants.SlotGrant(
            target=target.id,
            address=target.address,
            team=target.team,
            service=target.service,
            slots=share.granted,
            rack=ledger.claim.rack,
            epoch=ledger.claim.epoch,
            leaving=target.leaving,
        )

    def _fair_shares(self, target: targets.TargetSlots) -> dict[str, int]:
        service = f"{target.team}/{target.service}"
        return shares.divide(
            target=target.id,
            slots=target.slots,
            demand={
                incarnation: holder.demand.get(service, 0.0)
                for incarnation, holder in self.holders.items()
                if not holder.is_draining
            },
        )
