"""Follows the configuration through the platform and through peers."""

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
# While a poll takes longer than this, the daemon follows its peers as well.
SLOW_POLL_S = 0.5
REQUEST_PERIOD_S = 1.0
# A daemon without a version waits this long after the first heartbeat of a
# peer, then requests the configuration from the peer with the highest
# version.
FIRST_REQUEST_DELAY_S = 1.0
MAX_CACHED_CHANGES = 256

_LOG = events.Logger(name=__name__)


class Follower:
    """Keeps the newest configuration of one daemon.

    The version never decreases: a change is applied only to the version
    just before it, and a snapshot only if its version is higher.

    Args:
        platform: Link to the platform.
        links: Peer links of the daemon.
    """

    __slots__ = (
        "_changes",
        "_document",
        "_first_heartbeat_at_s",
        "_links",
        "_platform",
        "_requested_at_s",
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
            collections.deque(maxlen=MAX_CACHED_CHANGES)
        )
        self._requested_at_s = -REQUEST_PERIOD_S
        self._first_heartbeat_at_s: float | None = None
        self.changed = anyio.Event()
        self.current = configuration.Configuration(
            version=configurations.NO_VERSION
        )

    @property
    def version(self) -> int:
        """Version in force on this daemon; below 0 if there is none yet."""
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
        """Check that a team is in the configuration.

        Args:
            name: Name of the team.

        Raises:
            RequestNotRunError: The configuration has no such team, or
                there is no configuration yet.
        """
        reason = self.unready_reason()
        if reason:
            raise errors.RequestNotRunError(reason=reason)
        if not self.current.has_team(name):
            raise errors.RequestNotRunError(
                reason=f"the configuration has no team {name!r}", status=404
            )

    def service(self, team: str, name: str) -> configuration.Service | None:
        """Return the configuration of a service; None for the defaults.

        Args:
            team: Name of the team.
            name: Name of the service.
        """
        return self.current.service(team, name)

    async def run(self) -> None:
        """Poll the platform until cancelled."""
        while True:
            started_s = anyio.current_time()
            try:
                await self._poll_with_fallback()
            except errors.PlatformError:
                self._set_follows_peers(True)
            except errors.WisteriawoodError as exc:
                _LOG.log(events.CONFIG_UNREADABLE, reason=str(exc))
            else:
                self._set_follows_peers(False)
            self._links.publish_followers()
            took_s = anyio.current_time() - started_s
            await anyio.sleep(max(0.0, POLL_PERIOD_S - took_s))

    async def _poll_with_fallback(self) -> None:
        caught: list[errors.WisteriawoodError] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_peers_if_slow)
            try:
                await self.poll()
            except errors.WisteriawoodError as exc:
                caught.append(exc)
            group.cancel_scope.cancel()
        if caught:
            raise caught[0]

    async def _follow_peers_if_slow(self) -> None:
        await anyio.sleep(SLOW_POLL_S)
        self._set_follows_peers(True)

    def _set_follows_peers(self, value: bool) -> None:
        if self._links.follows_peers != value:
            self._links.follows_peers = value
            self._links.send_heartbeats_now()

    async def poll(self) -> None:
        """Read the platform once and apply any newer version.

        Raises:
            PlatformError: The table could not be read.
        """
        if self.version < 0:
            self._apply_snapshot(
                await config_links.read_newest(self._platform)
            )
            return
        changes = await config_links.read_changes(
            self._platform, after=self.version
        )
        # The platform stores only the newest changes. If the one that
        # follows this daemon's version has been deleted, read the whole
        # document.
        if changes and changes[0].version > self.version + 1:
            self._apply_snapshot(
                await config_links.read_newest(self._platform)
            )
            return
        self.apply_changes(changes)

    def apply_changes(
        self, changes: list[configurations.ConfigChange]
    ) -> None:
        """Apply changes in order, skipping any but the next version.

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
            self._publish_version()

    def _apply_snapshot(self, snapshot: configurations.ConfigSnapshot) -> None:
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
        self._publish_version()

    def _publish_version(self) -> None:
        _LOG.log(events.CONFIG_ADOPTED, version=self.version)
        self._links.publish_version(self.version)
        self.changed.set()
        self.changed = anyio.Event()
        for peer in self._links.peers.values():
            self._forward_changes(peer)

    def _forward_changes(self, peer: peering.Peer) -> None:
        """Send newer changes to a peer that can't read the platform."""
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

    async def receive_heartbeat(
        self, peer: peering.Peer, message: messages.Heartbeat
    ) -> None:
        """Process a heartbeat: forward newer changes, or request them.

        Args:
            peer: The peer.
            message: Its heartbeat.
        """
        peer.config_version = message.config_version
        peer.follows_peers = message.follows_peers
        self._forward_changes(peer)
        if self.version < 0:
            self._request_from_highest()
        else:
            self._request_newer(peer)

    def _request_from_highest(self) -> None:
        now_s = anyio.current_time()
        if self._first_heartbeat_at_s is None:
            self._first_heartbeat_at_s = now_s
        if now_s - self._first_heartbeat_at_s < FIRST_REQUEST_DELAY_S:
            return
        peers = self._links.peers.values()
        self._request_newer(max(peers, key=lambda p: p.config_version))

    def _request_newer(self, peer: peering.Peer) -> None:
        now_s = anyio.current_time()
        if peer.config_version <= self.version:
            return
        if now_s - self._requested_at_s < REQUEST_PERIOD_S:
            return
        self._requested_at_s = now_s
        peer.start(peer.send, messages.ConfigWanted(have=self.version))

    async def send_newer(
        self, peer: peering.Peer, message: messages.ConfigWanted
    ) -> None:
        """Send a peer the changes or the snapshot that it requests.

        Args:
            peer: The peer.
            message: The request, with the version that the peer has.
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
        """Apply the changes that a peer has forwarded.

        Args:
            peer: The peer.
            message: The changes.
        """
        if message.changes:
            newest = message.changes[-1].version
            peer.config_version = max(peer.config_version, newest)
        self.apply_changes(message.changes)

    def receive_offer(
        self, peer: peering.Peer, message: messages.ConfigOffer
    ) -> None:
        """Apply the snapshot that a peer has sent, if its version is higher.

        Args:
            peer: The peer.
            message: The snapshot.
        """
        version = message.snapshot.version
        peer.config_version = max(peer.config_version, version)
        self._apply_snapshot(message.snapshot)


@peering.handles(messages.Heartbeat)
async def _receive_heartbeat(
    machine: typing.Any, peer: peering.Peer, message: messages.Heartbeat
) -> None:
    await machine.configuration.receive_heartbeat(peer, message)


@peering.handles(messages.ConfigWanted)
async def _receive_request(
    machine: typing.Any, peer: peering.Peer, message: messages.ConfigWanted
) -> None:
    await machine.configuration.send_newer(peer, message)


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
