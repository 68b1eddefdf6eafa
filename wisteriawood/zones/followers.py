"""Follows the configuration: through the platform and through peers."""

import collections
import typing

import anyio

from wisteriawood.config import configuration
from wisteriawood.config import configuration_patches as patches
from wisteriawood.contracts import configurations
from wisteriawood import errors
from wisteriawood.links import configurations as config_links
from wisteriawood.links import messages
from wisteriawood.links import platforms
from wisteriawood.telemetry import events
from wisteriawood.zones import peering

POLL_PERIOD_S = 1.0
# A poll that takes longer makes the daemon follow its peers meanwhile.
SLOW_POLL_S = 0.5
ASK_PERIOD_S = 1.0
# A daemon without a version hears its peers for so long, then asks the
# one with the highest version.
START_WAIT_S = 1.0
CHANGES_KEPT = 256

_LOG = events.Logger(name=__name__)


class Follower:
    """Keeps the newest configuration of one daemon.

    A version never goes down: changes are taken in order, each on the
    version just before it, and whole versions only if they are higher.

    Args:
        platform: Link to the platform.
        links: Peer links of the daemon.
    """

    __slots__ = (
        "_asked_at_s",
        "_changes",
        "_document",
        "_heard_at_s",
        "_links",
        "_platform",
        "changed",
        "current",
    )

    def __init__(
        self, *, platform: platforms.Platform, links: peering.Peering
    ):
        self._platform = platform
        self._links = links
        self._document: configuration.Document = {"teams": {}}
        self._changes: collections.deque[configurations.ConfigChange] = (
            collections.deque(maxlen=CHANGES_KEPT)
        )
        self._asked_at_s = -ASK_PERIOD_S
        self._heard_at_s: float | None = None
        self.changed = anyio.Event()
        self.current = configuration.Configuration(
            version=configurations.NO_VERSION
        )

    @property
    def version(self) -> int:
        """Version in force here; below 0 if there is none yet."""
        return self.current.version

    def unready_reason(self) -> str:
        """Return why the daemon can't serve yet; empty if it can."""
        if self.version < 0:
            return (
                "no configuration: neither the platform nor a peer has "
                "given one yet"
            )
        return ""

    def check_team(self, name: str) -> None:
        """Check that a team is served here.

        Args:
            name: Name of the team.

        Raises:
            RequestNotRunError: There is no such team, or no
                configuration yet.
        """
        reason = self.unready_reason()
        if reason:
            raise errors.RequestNotRunError(reason=reason)
        if not self.current.knows(name):
            raise errors.RequestNotRunError(
                reason=f"the configuration has no team {name!r}", status=404
            )

    def service(self, team: str, name: str) -> configuration.Service | None:
        """Return what a team asks of a service; None for the defaults.

        Args:
            team: Name of the team.
            name: Name of the service.
        """
        return self.current.service(team, name)

    async def run(self) -> None:
        """Poll the platform, for ever."""
        while True:
            started_s = anyio.current_time()
            try:
                await self._poll_noticed()
            except errors.PlatformError:
                self._set_follows_peers(True)
            except errors.WisteriawoodError as exc:
                _LOG.log(events.CONFIG_UNREADABLE, reason=str(exc))
            else:
                self._set_follows_peers(False)
            self._links.note_followers()
            took_s = anyio.current_time() - started_s
            await anyio.sleep(max(0.0, POLL_PERIOD_S - took_s))

    async def _poll_noticed(self) -> None:
        caught: list[errors.WisteriawoodError] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._notice_slow_poll)
            try:
                await self.poll()
            except errors.WisteriawoodError as exc:
                caught.append(exc)
            group.cancel_scope.cancel()
        if caught:
            raise caught[0]

    async def _notice_slow_poll(self) -> None:
        await anyio.sleep(SLOW_POLL_S)
        self._set_follows_peers(True)

    def _set_follows_peers(self, value: bool) -> None:
        if self._links.follows_peers != value:
            self._links.follows_peers = value
            self._links.announce()

    async def poll(self) -> None:
        """Read the platform once and take what is newer there.

        Raises:
            PlatformError: The table could not be read.
        """
        if self.version < 0:
            self._take_snapshot(await config_links.read_newest(self._platform))
            return
        changes = await config_links.read_changes(
            self._platform, after=self.version
        )
        # A gap: this daemon was away for longer than changes are kept.
        if changes and changes[0].version > self.version + 1:
            self._take_snapshot(await config_links.read_newest(self._platform))
            return
        self.take_changes(changes)

    def take_changes(self, changes: list[configurations.ConfigChange]) -> None:
        """Take changes in order; refuse any that does not follow on.

        Args:
            changes: The changes, oldest first.
        """
        before = self.version
        for change in changes:
            if self.version < 0 or change.version != self.version + 1:
                continue
            document = patches.apply(self._document, change.patch)
            try:
                self.current = configuration.reparse(
                    self.current,
                    document,
                    change.patch,
                    version=change.version,
                )
            except errors.SettingsError as exc:
                _LOG.log(events.CONFIG_UNREADABLE, reason=str(exc))
                break
            self._document = document
            self._changes.append(change)
        if self.version > before:
            self._adopted()

    def _take_snapshot(self, snapshot: configurations.ConfigSnapshot) -> None:
        if snapshot.version <= self.version:
            return
        try:
            self.current = configuration.parse(
                snapshot.document, version=snapshot.version
            )
        except errors.SettingsError as exc:
            _LOG.log(events.CONFIG_UNREADABLE, reason=str(exc))
            return
        self._document = snapshot.document
        self._changes.clear()
        self._adopted()

    def _adopted(self) -> None:
        _LOG.log(events.CONFIG_ADOPTED, version=self.version)
        self._links.note_version(self.version)
        self.changed.set()
        self.changed = anyio.Event()
        for peer in self._links.peers.values():
            self._pass_on(peer)

    def _pass_on(self, peer: peering.Peer) -> None:
        """Send changes to a peer that can't read the platform."""
        if not peer.follows_peers:
            return
        if not 0 <= peer.config_version < self.version:
            return
        changes = self._changes_after(peer.config_version)
        if changes:
            peer.config_version = self.version
            peer.start(peer.send, messages.ConfigChanges(changes=changes))

    def _changes_after(
        self, version: int
    ) -> list[configurations.ConfigChange]:
        changes = [c for c in self._changes if c.version > version]
        if not changes or changes[0].version != version + 1:
            return []
        return changes

    async def hear(
        self, peer: peering.Peer, message: messages.Heartbeat
    ) -> None:
        """Take note of a peer's heartbeat; ask or pass on if that helps.

        Args:
            peer: The peer.
            message: Its heartbeat.
        """
        peer.config_version = message.config_version
        peer.follows_peers = message.follows_peers
        self._pass_on(peer)
        if self.version < 0:
            self._ask_highest()
        else:
            self._ask(peer)

    def _ask_highest(self) -> None:
        now_s = anyio.current_time()
        if self._heard_at_s is None:
            self._heard_at_s = now_s
        if now_s - self._heard_at_s < START_WAIT_S:
            return
        peers = self._links.peers.values()
        self._ask(max(peers, key=lambda p: p.config_version))

    def _ask(self, peer: peering.Peer) -> None:
        now_s = anyio.current_time()
        if peer.config_version <= self.version:
            return
        if now_s - self._asked_at_s < ASK_PERIOD_S:
            return
        self._asked_at_s = now_s
        peer.start(peer.send, messages.ConfigWanted(have=self.version))

    async def answer(
        self, peer: peering.Peer, message: messages.ConfigWanted
    ) -> None:
        """Answer a peer that asks for what is newer here.

        Args:
            peer: The peer.
            message: What it asks.
        """
        if message.have >= self.version:
            return
        changes = []
        if message.have >= 0:
            changes = self._changes_after(message.have)
        if changes:
            await peer.send(messages.ConfigChanges(changes=changes))
            return
        snapshot = configurations.ConfigSnapshot(
            version=self.version, document=self._document
        )
        await peer.send(messages.ConfigOffer(snapshot=snapshot))

    def receive_changes(
        self, peer: peering.Peer, message: messages.ConfigChanges
    ) -> None:
        """Take the changes that a peer passes on.

        Args:
            peer: The peer.
            message: The changes.
        """
        if message.changes:
            newest = message.changes[-1].version
            peer.config_version = max(peer.config_version, newest)
        self.take_changes(message.changes)

    def receive_offer(
        self, peer: peering.Peer, message: messages.ConfigOffer
    ) -> None:
        """Take the whole version that a peer passes on, if it is higher.

        Args:
            peer: The peer.
            message: The version.
        """
        version = message.snapshot.version
        peer.config_version = max(peer.config_version, version)
        self._take_snapshot(message.snapshot)


@peering.handles(messages.Heartbeat)
async def _hear(
    machine: typing.Any, peer: peering.Peer, message: messages.Heartbeat
) -> None:
    await machine.configuration.hear(peer, message)


@peering.handles(messages.ConfigWanted)
async def _answer(
    machine: typing.Any, peer: peering.Peer, message: messages.ConfigWanted
) -> None:
    await machine.configuration.answer(peer, message)


@peering.handles(messages.ConfigChanges)
async def _receive_changes(
    machine: typing.Any, peer: peering.Peer, message: messages.ConfigChanges
) -> None:
    machine.configuration.receive_changes(peer, message)


@peering.handles(messages.ConfigOffer)
async def _receive_offer(
    machine: typing.Any, peer: peering.Peer, message: messages.ConfigOffer
) -> None:
    machine.configuration.receive_offer(peer, message)
