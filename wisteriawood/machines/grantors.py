"""Grantors: the part of a scheduler that grants slots to entry hosts."""

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
from wisteriawood.machines import slot_books
from wisteriawood.machines import targets
from wisteriawood.telemetry import events
from wisteriawood.zones import membership
from wisteriawood.zones import probes

REVIEW_PERIOD_S = 0.25
# A process that has said nothing for so long is probed.
SILENT_S = 1.5
TAKE_BACK_S = terms.SLOT_TERM_S + terms.DRIFT_MARGIN_S

_LOG = events.Logger(name=__name__)


class Grantor:
    """Grants the slots of the targets on the racks that are held.

    Args:
        members: Membership of the scheduler.
        held: Racks that the scheduler holds, by name.
        stopping: Set once the scheduler stops.
        on_slowdown: Takes how much slower a target answers an entry
            host than its peers do.
        dial_peer: Opens a channel to the peer at an address.
    """

    __slots__ = (
        "_held",
        "_listed",
        "_members",
        "_on_slowdown",
        "_probes",
        "_quarantines",
        "_stopping",
        "books",
        "holders",
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
        self._held = held
        self._stopping = stopping
        self._on_slowdown = on_slowdown
        self._listed: dict[str, holdings.MemberRow] = {}
        self._probes = probes.Prober(
            dial_peer=dial_peer,
            suspects=self._suspects,
            see_dead=self.see_dead,
        )
        self._quarantines = quarantines.Quarantines(members=members)
        self.books: dict[str, slot_books.SlotBook] = {}
        self.holders: dict[str, slot_books.Holder] = {}

    async def run(self) -> None:
        """Take back what silent entry hosts hold, for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._probes.run)
            while True:
                self.review()
                await anyio.sleep(REVIEW_PERIOD_S)

    def _suspects(self) -> list[holdings.MemberRow]:
        """Return the entry hosts that owe an answer."""
        now_s = anyio.current_time()
        owing = {
            incarnation
            for book in self.books.values()
            if now_s - book.claimed_s > SILENT_S
            for incarnation in book.unanswered_until_s or ()
            if not self._quarantines.is_dead(incarnation)
        }
        found = {
            member.incarnation: member
            for member in self._listed.values()
            if member.incarnation in owing
        }
        for incarnation, holder in self.holders.items():
            if now_s - holder.updated_s > SILENT_S:
                found[incarnation] = holder.member
        return list(found.values())

    def review(self) -> None:
        """Bring the books up to date with the racks and the clock."""
        now_s = anyio.current_time()
        self._follow_racks(now_s)
        for holder in list(self.holders.values()):
            if self._may_take_back(holder, now_s):
                self._take_back(holder, now_s)
        for book in self.books.values():
            if book.unanswered_until_s is None:
                self._list_unanswered(book, now_s)
        self._read_members(now_s)
        for quarantine in self._quarantines.review(now_s=now_s):
            self._quarantine(quarantine)
        for book in self.books.values():
            book.review(now_s=now_s)

    def _follow_racks(self, now_s: float) -> None:
        for name, rack in self._held.items():
            book = self.books.get(name)
            if book is None or book.claim.epoch != rack.holding.epoch:
                claim = grants.RackClaim(rack=name, epoch=rack.holding.epoch)
                self.books[name] = slot_books.SlotBook(
                    claim=claim, now_s=now_s
                )
        for name in set(self.books) - set(self._held):
            del self.books[name]

    def _list_unanswered(
        self, book: slot_books.SlotBook, now_s: float
    ) -> None:
        """Note who may hold slots, once read after the claim."""
        if not self._members.watched_since(book.claimed_s):
            return
        until_s = (
            now_s
            + terms.HORIZON_S
            + terms.DRIFT_MARGIN_S
            + requests.LONGEST_REQUEST_S
        )
        book.unanswered_until_s = {
            sighting.member.incarnation: until_s
            for (role, _name), sighting in self._members.sightings.items()
            if role == holdings.Role.ENTRY
            and sighting.member.zone == self._members.own.zone
            and sighting.member.state != holdings.HostState.GONE
            and sighting.member.incarnation not in book.answered
        }

    def _read_members(self, now_s: float) -> None:
        for (role, name), sighting in self._members.sightings.items():
            member = sighting.member
            if role != holdings.Role.ENTRY:
                continue
            before = self._listed.get(name)
            self._listed[name] = member
            if before is not None and member.replaces(before):
                self.see_dead(before)
            if member.state == holdings.HostState.GONE:
                # It has returned all that it held.
                for book in self.books.values():
                    book.quarantine(
                        member.incarnation, until_s=now_s, is_dead=True
                    )

    def _may_take_back(self, holder: slot_books.Holder, now_s: float) -> bool:
        silent_s = now_s - holder.updated_s
        if silent_s > terms.HORIZON_S + terms.DRIFT_MARGIN_S:
            return True
        if silent_s <= TAKE_BACK_S or not self._members.is_confirmed():
            return False
        since_s = self._members.term.unbroken_since_s()
        # After a break the entry host may have read that the term ended,
        # and keep its slots for a successor until the horizon.
        return since_s is not None and since_s <= holder.updated_s

    def _take_back(self, holder: slot_books.Holder, now_s: float) -> None:
        self._end(holder.member, now_s=now_s, is_dead=False)
        _LOG.log(events.SLOTS_TAKEN_BACK, entry=holder.member.name)

    def _end(
        self, member: holdings.MemberRow, *, now_s: float, is_dead: bool
    ) -> None:
        """Let the shares of a process end that surely sends nothing new."""
        holder = self.holders.pop(member.incarnation, None)
        if holder is not None:
            holder.is_silent = True
        self._quarantine(
            self._quarantines.open(member, ended_s=now_s, is_dead=is_dead)
        )

    def _quarantine(self, quarantine: quarantines.Quarantine) -> None:
        for book in self.books.values():
            book.quarantine(
                quarantine.member.incarnation,
                until_s=quarantine.until_s(),
                is_dead=quarantine.is_dead,
            )

    def see_dead(self, member: holdings.MemberRow) -> None:
        """Take the proof that a process of an entry host is dead.

        Args:
            member: Its member row.
        """
        self._end(member, now_s=anyio.current_time(), is_dead=True)
        _LOG.log(events.ENTRY_HOST_DEAD, entry=member.name)

    async def serve(
        self, hello: messages.Hello, channel: channels.Channel
    ) -> None:
        """Serve one entry host's link until it breaks.

        Args:
            hello: The entry host's hello.
            channel: Channel to it.

        Raises:
            LinkError: The link broke.
        """
        holder = self.open(hello.member)
        await channel.send(messages.Hello(member=self._members.own))
        while not self._stopping.is_set():
            report = await channel.receive()
            if holder.is_silent or self._stopping.is_set():
                return
            await channel.send(self.answer(holder, report))

    def open(self, member: holdings.MemberRow) -> slot_books.Holder:
        """Begin a link to an entry host; it ends the links before.

        Args:
            member: The entry host's member row.
        """
        for other in list(self.holders.values()):
            if member.replaces(other.member):
                self.see_dead(other.member)
        self._quarantines.drop(member.incarnation)
        before = self.holders.get(member.incarnation)
        now_s = anyio.current_time()
        holder = slot_books.Holder(member=member, now_s=now_s)
        if before is not None:
            before.is_silent = True
            holder.updated_s = before.updated_s
        for book in self.books.values():
            # What it held on the link before stays counted until it
            # answers on this one.
            book.answered.discard(member.incarnation)
        self.holders[member.incarnation] = holder
        _LOG.log(events.PEER_CONNECTED, peer=member.name)
        return holder

    def answer(
        self, holder: slot_books.Holder, report: messages.SlotReport
    ) -> messages.SlotUpdate:
        """Take a report and return what the entry host may hold.

        Args:
            holder: The entry host.
            report: Its report.
        """
        self.review()
        self._take_report(holder, report)
        now_s = anyio.current_time()
        update = messages.SlotUpdate(
            sequence=report.sequence, horizon_s=self._horizon_s(now_s)
        )
        incarnation = holder.member.incarnation
        renewed = set()
        for name, book in self.books.items():
            if book.is_lost:
                continue
            if incarnation in book.answered:
                renewed.add(name)
                update.granted.extend(self._grants(holder, book))
            else:
                update.claims.append(book.claim)
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

    def _take_report(
        self, holder: slot_books.Holder, report: messages.SlotReport
    ) -> None:
        incarnation = holder.member.incarnation
        holder.is_draining = report.is_draining
        holder.demand.update(report.demand)
        for target, slowdown in report.slowdowns.items():
            self._on_slowdown(target, slowdown)
        for answer in report.answers:
            book = self.books.get(answer.rack)
            if book is None:
                continue
            if answer.epoch > book.claim.epoch:
                book.is_lost = True
            elif answer.epoch == book.claim.epoch:
                book.forget(incarnation)
                book.answered.add(incarnation)
                waits = book.unanswered_until_s or {}
                waits.pop(incarnation, None)
        for held in report.holdings:
            book = self.books.get(held.rack)
            if book is None or incarnation not in book.answered:
                continue
            share = book.target(held.target).share(incarnation)
            share.held = held.slots

    def _grants(
        self, holder: slot_books.Holder, book: slot_books.SlotBook
    ) -> list[grants.SlotGrant]:
        rack = self._held.get(book.claim.rack)
        if rack is None:
            return []
        # A successor learns from the table whom it has to ask.
        is_listed = self._members.lists(holder.member)
        may_gain = is_listed and self._members.is_confirmed()
        changed = []
        for target in rack.targets.values():
            # Nobody before can have granted a target of this epoch.
            is_new = target.since_epoch == book.claim.epoch
            may_move = may_gain and (is_new or book.is_counted())
            grant = self._grant(holder, book, target, may_move=may_move)
            if grant is not None:
                changed.append(grant)
        return changed

    def _grant(
        self,
        holder: slot_books.Holder,
        book: slot_books.SlotBook,
        target: targets.TargetSlots,
        *,
        may_move: bool,
    ) -> grants.SlotGrant | None:
        """Return the grant, or None if the entry host has it already."""
        incarnation = holder.member.incarnation
        counted = book.target(target.id)
        share = counted.share(incarnation)
        if target.leaving or holder.is_draining:
            share.granted = 0
        elif may_move:
            counted.allot(
                holder=incarnation,
                fair=self._fair(target).get(incarnation, 0),
                free=target.slots - counted.counted(),
            )
        else:
            share.granted = share.held
        is_known = share.is_listed and share.is_leaving == target.leaving
        if is_known and share.granted == share.held:
            return None
        share.is_listed = True
        share.is_leaving = target.leaving
        return grants.SlotGrant(
            target=target.id,
            address=target.address,
            team=target.team,
            service=target.service,
            slots=share.granted,
            rack=book.claim.rack,
            epoch=book.claim.epoch,
            leaving=target.leaving,
        )

    def _fair(self, target: targets.TargetSlots) -> dict[str, int]:
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
