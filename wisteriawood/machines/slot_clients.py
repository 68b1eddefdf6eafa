"""Slot clients: obtain slots for an entry host from the schedulers."""

import typing

import anyio
from anyio import abc

from wisteriawood.contracts import grants
from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import terms
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import messages
from wisteriawood.links import platforms
from wisteriawood.machines import announcements
from wisteriawood.machines import held_racks
from wisteriawood.machines import late_answer_links
from wisteriawood.machines import services
from wisteriawood.machines import targets
from wisteriawood.telemetry import events
from wisteriawood.zones import membership

REPORT_PERIOD_S = 0.5
ANSWER_TIMEOUT_S = 2.0
REDIAL_PERIOD_S = 0.5
REVIEW_PERIOD_S = 0.25
# Time before the end of the slot term at which the rack's row is read, to
# find out whether the grantor still holds the rack.
HOLDING_CHECK_LEAD_S = 3.0
# Lower bound of the demand in a report, as a share of the previous one.
DEMAND_DECAY_FACTOR = 0.8
# Must exceed the longest deadline that a caller may request.
RELEASE_TIMEOUT_S = 65.0
MAX_TARGET_CONNECTIONS = 256

_LOG = events.Logger(name=__name__)

GetService = typing.Callable[[str, str], services.Service]


class GrantorSession:
    """State of the reports and updates on one link to a grantor.

    Args:
        grantor: Member row of the scheduler at the other end.

    Attributes:
        answers: Answers to claims that the next report will contain.
        demand: Demand last reported, by team/service.
        racks: Names of the racks that the grantor renews on this link.
        reported: Slots last reported as held, by target.
    """

    __slots__ = ("answers", "demand", "grantor", "racks", "reported")

    def __init__(self, *, grantor: holdings.MemberRow):
        self.grantor = grantor
        self.answers: list[grants.RackClaim] = []
        self.demand: dict[str, float] = {}
        self.racks: set[str] = set()
        self.reported: dict[str, grants.SlotHolding] = {}


class SlotClient:
    """Holds the slots that the schedulers of the zone grant.

    Args:
        platform: Link to the platform.
        members: Membership of the entry host.
        dial_peer: Opens the channel to the peer at an address.
        dial_target: Opens the link to the target at an address.
        get_service: Returns the service of a team and a name.
        on_late_answer: Called with an answer whose caller no longer waits.
        get_longest_deadline_s: Returns the longest deadline in seconds
            that the configuration gives.
    """

    __slots__ = (
        "_announcement",
        "_dead_incarnations",
        "_dial_peer",
        "_dial_target",
        "_get_service",
        "_group",
        "_linked_schedulers",
        "_members",
        "_on_late_answer",
        "_pending_checks",
        "_platform",
        "is_draining",
        "racks",
        "targets",
    )

    def __init__(
        self,
        *,
        platform: platforms.Platform,
        members: membership.Membership,
        dial_peer: typing.Callable,
        dial_target: typing.Callable,
        get_service: GetService,
        on_late_answer: late_answer_links.OnLateAnswer,
        get_longest_deadline_s: typing.Callable[[], float],
    ):
        self._platform = platform
        self._members = members
        self._dial_peer = dial_peer
        self._dial_target = dial_target
        self._get_service = get_service
        self._on_late_answer = on_late_answer
        self._announcement = announcements.RequestTimeAnnouncement(
            members=members, get_longest_deadline_s=get_longest_deadline_s
        )
        self._dead_incarnations: set[str] = set()
        self._pending_checks: set[str] = set()
        self._linked_schedulers: set[str] = set()
        self._group: abc.TaskGroup | None = None
        self.is_draining = False
        self.racks: dict[str, held_racks.HeldRack] = {}
        self.targets: dict[str, targets.Target] = {}

    async def run(self) -> None:
        """Keep a link to each scheduler of the zone until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._review_forever)
            while True:
                changed = self._members.changed
                for name in self._schedulers():
                    if name not in self._linked_schedulers:
                        self._linked_schedulers.add(name)
                        group.start_soon(self._keep_link, name)
                await changed.wait()

    async def release(self) -> bool:
        """Release all slots once the requests in flight are answered.

        Returns:
            Whether all slots were released; False if a target still works
            on a request whose caller no longer waits.
        """
        self.is_draining = True
        with anyio.move_on_after(RELEASE_TIMEOUT_S):
            while any(target.in_flight for target in self.targets.values()):
                await anyio.sleep(REVIEW_PERIOD_S)
        for target in self.targets.values():
            target.grant.slots = 0
        # Leave time for the next reports to inform the grantors.
        await anyio.sleep(2 * REPORT_PERIOD_S)
        return not any(target.in_flight for target in self.targets.values())

    def _schedulers(self) -> list[str]:
        # A scheduler is included even if its row is not renewed: the
        # platform may be unreachable from the scheduler or from here.
        return [
            name
            for (role, name), found in self._members.observed_members.items()
            if role == holdings.Role.SCHEDULER
            and found.member.zone == self._members.own.zone
            and found.member.state != holdings.HostState.GONE
        ]

    async def _keep_link(self, name: str) -> None:
        """Keep the link to one scheduler open while it is a member."""
        while name in self._schedulers():
            key = (holdings.Role.SCHEDULER, name)
            member = self._members.observed_members[key].member
            try:
                async with self._dial_peer(
                    address=member.peer_address
                ) as channel:
                    await self._exchange(member, channel)
            except errors.LinkRefusedError:
                self._dead_incarnations.add(member.incarnation)
            except errors.LinkError as exc:
                _LOG.log(events.PEER_LOST, peer=name, reason=str(exc))
            await anyio.sleep(REDIAL_PERIOD_S)
        self._linked_schedulers.discard(name)

    async def _exchange(
        self, member: holdings.MemberRow, channel: typing.Any
    ) -> None:
        await channel.send(messages.Hello(member=self._members.own))
        hello = await _receive(channel)
        if hello.member.incarnation != member.incarnation:
            # Another process now listens on the port of the process that
            # the row names, so that process is dead.
            self._dead_incarnations.add(member.incarnation)
        _LOG.log(events.PEER_CONNECTED, peer=member.name)
        session = GrantorSession(grantor=hello.member)
        sequence = 0
        while True:
            sequence += 1
            sent_s = anyio.current_time()
            await channel.send(self.report(session, sequence, sent_s))
            update = await _receive(channel)
            if update.sequence != sequence:
                raise errors.MessageError(
                    "a slot update answers another report"
                )
            self.apply_update(session, update, sent_s)
            if not session.answers:
                await anyio.sleep(REPORT_PERIOD_S)

    def report(
        self, session: GrantorSession, sequence: int, now_s: float
    ) -> messages.SlotReport:
        """Return the next report to a grantor.

        Args:
            session: Session with the grantor.
            sequence: Sequence number of the report on the link.
            now_s: Monotonic time in seconds.
        """
        report = messages.SlotReport(
            sequence=sequence,
            answers=session.answers,
            is_draining=self.is_draining,
        )
        for answer in session.answers:
            rack = self.racks[answer.rack]
            if rack.epoch == answer.epoch:
                # The grantor counts the slot term from this report on.
                rack.shorten(until_s=now_s + terms.SLOT_TERM_S)
        session.answers = []
        for target in self.targets.values():
            if target.rack.name not in session.racks:
                continue
            holding = target.holding()
            before = session.reported.get(target.id)
            if before is None or before.slots != holding.slots:
                report.holdings.append(holding)
                session.reported[target.id] = holding
        report.demand = self._demand(session)
        report.slowdowns = self._slowdowns(session)
        return report

    def _slowdowns(self, session: GrantorSession) -> dict[str, float]:
        """Return the slowdown of slow targets relative to their peers."""
        names = {
            (target.grant.team, target.grant.service)
            for target in self.targets.values()
        }
        return {
            target_id: round(slowdown, 2)
            for team, name in names
            for target_id, slowdown in self._get_service(team, name)
            .policy.slowdowns()
            .items()
            if target_id in self.targets
            and self.targets[target_id].rack.name in session.racks
        }

    def _demand(self, session: GrantorSession) -> dict[str, float]:
        """Return the demands that changed since the last report."""
        found: dict[str, float] = {}
        for target in self.targets.values():
            name = f"{target.grant.team}/{target.grant.service}"
            found[name] = found.get(name, 0.0) + target.in_flight
        changed = {}
        for name, in_flight in found.items():
            service = self._get_service(*name.split("/", 1))
            before = session.demand.get(name, 0.0)
            demand = float(in_flight + service.waiting)
            # A falling demand is reported gradually, a rising one at once.
            demand = max(demand, round(DEMAND_DECAY_FACTOR * before, 1))
            if demand != before:
                changed[name] = session.demand[name] = demand
        return changed

    def apply_update(
        self,
        session: GrantorSession,
        update: messages.SlotUpdate,
        sent_s: float,
    ) -> None:
        """Apply a grantor's answer to a report.

        Args:
            session: Session with the grantor.
            update: The answer.
            sent_s: Monotonic time just before the report was sent.
        """
        for name in update.withdrawn:
            session.racks.discard(name)
            rack = self.racks.get(name)
            if rack is not None and rack.is_granted_by(session.grantor):
                rack.retain()
        for name in session.racks:
            rack = self.racks[name]
            if rack.is_granted_by(session.grantor):
                rack.renew(sent_s=sent_s, horizon_s=update.horizon_s)
        for claim in update.claims:
            self._answer_claim(session, claim)
        for grant in update.granted:
            rack = self.racks.get(grant.rack)
            if rack is None or not rack.is_granted_by(session.grantor):
                continue
            if rack.epoch == grant.epoch:
                self._apply_grant(rack, grant)

    def _answer_claim(
        self, session: GrantorSession, claim: grants.RackClaim
    ) -> None:
        rack = self.racks.get(claim.rack)
        if rack is None:
            rack = self.racks[claim.rack] = held_racks.HeldRack(
                name=claim.rack
            )
        if rack.epoch <= claim.epoch:
            rack.epoch = claim.epoch
            rack.grantor = session.grantor
            session.racks.add(claim.rack)
            self._forget_reported(session, claim.rack)
        session.answers.append(
            grants.RackClaim(rack=claim.rack, epoch=rack.epoch)
        )

    def _forget_reported(self, session: GrantorSession, rack: str) -> None:
        for target in self.targets.values():
            if target.rack.name == rack:
                session.reported.pop(target.id, None)

    def _apply_grant(
        self, rack: held_racks.HeldRack, grant: grants.SlotGrant
    ) -> None:
        target = self.targets.get(grant.target)
        service = self._get_service(grant.team, grant.service)
        if target is None:
            if grant.leaving:
                return
            target = self._add_target(rack, grant)
            service.targets[grant.target] = target
        target.grant = grant
        service.wake()

    def _add_target(
        self, rack: held_racks.HeldRack, grant: grants.SlotGrant
    ) -> targets.Target:
        inner = self._dial_target(
            address=grant.address, connections=MAX_TARGET_CONNECTIONS
        )
        target = targets.Target(
            grant=grant, grantor=rack.grantor.name, link=inner
        )
        target.rack = rack
        target.link = late_answer_links.LateAnswerLink(
            inner=inner,
            target=target,
            announcement=self._announcement,
            group=self._group,
            on_late_answer=self._on_late_answer,
        )
        self.targets[grant.target] = target
        return target

    async def _review_forever(self) -> None:
        while True:
            await anyio.sleep(REVIEW_PERIOD_S)
            now_s = anyio.current_time()
            for rack in self.racks.values():
                self._review_rack(rack, now_s)
            for target in list(self.targets.values()):
                await self._review_target(target, now_s)
            self._announcement.review()

    def _review_rack(self, rack: held_racks.HeldRack, now_s: float) -> None:
        if rack.grantor is None or rack.is_retained:
            return
        if rack.usable_until_s - now_s > HOLDING_CHECK_LEAD_S:
            return
        if rack.grantor.incarnation in self._dead_incarnations:
            rack.retain()
        elif self._is_term_ended(rack):
            rack.retain()
        elif rack.name not in self._pending_checks and rack.is_usable(
            now_s=now_s
        ):
            self._pending_checks.add(rack.name)
            self._group.start_soon(self._check_holding, rack)

    def _is_term_ended(self, rack: held_racks.HeldRack) -> bool:
        """Return whether the table shows that the grantor's term ended.

        Only rows read after the grantor's last answer count. Older rows do
        not rule out that the grantor has held its term without a break.
        """
        if not self._members.scanned_since(rack.renewed_s):
            return False
        key = (holdings.Role.SCHEDULER, rack.grantor.name)
        observed = self._members.observed_members.get(key)
        if observed is None:
            return False
        if observed.member.incarnation != rack.grantor.incarnation:
            # Another process at the same address proves that the grantor's
            # process is dead.
            address = rack.grantor.peer_address
            return observed.member.peer_address == address
        if observed.member.state == holdings.HostState.GONE:
            return True
        return observed.is_expired(now_s=self._members.scan_sent_at_s)

    async def _check_holding(self, rack: held_racks.HeldRack) -> None:
        """Read from the table whether the grantor still holds the rack."""
        grantor = rack.grantor
        epoch = rack.epoch
        key = keys.rack(self._members.own.zone, rack.name)
        try:
            row = await self._platform.read(key)
            if row is not None:
                found = rows.from_value(row.value, holdings.RackHolding)
                is_holder = found.incarnation == grantor.incarnation
                # A newer claim may have arrived during the read.
                is_current = rack.epoch == epoch and rack.is_granted_by(
                    grantor
                )
                if is_current and not (is_holder and found.epoch == epoch):
                    rack.retain()
        except errors.PlatformError:
            pass
        await anyio.sleep(REPORT_PERIOD_S)
        self._pending_checks.discard(rack.name)

    async def _review_target(
        self, target: targets.Target, now_s: float
    ) -> None:
        service = self._get_service(target.grant.team, target.grant.service)
        if target.grant.slots and not target.rack.is_usable(now_s=now_s):
            target.grant.slots = 0
            _LOG.log(events.SLOTS_LET_GO, target=target.id)
        if target.end_quarantines(now_s=now_s):
            service.wake()
        if target.is_overrun(now_s=now_s):
            self._announcement.record_overrun()
        if target.grant.leaving and not target.in_flight:
            del self.targets[target.id]
            service.targets.pop(target.id, None)
            await target.link.aclose()
            _LOG.log(events.TARGET_LEFT, target=target.id)


async def _receive(channel: typing.Any) -> typing.Any:
    try:
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            return await channel.receive()
    except TimeoutError as exc:
        raise errors.LinkClosedError("no answer in time") from exc
