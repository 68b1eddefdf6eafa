"""Peer links of a daemon: one link for each pair, one task for each peer.

Entry hosts connect to each other; schedulers connect to entry hosts.
"""

import contextlib
import hashlib
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import configurations
from wisteriawood.contracts import holdings
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links import messages
from wisteriawood.policies import registry
from wisteriawood.telemetry import events
from wisteriawood.zones import membership

OWN_ZONE_PEERS = {holdings.Role.ENTRY: 4, holdings.Role.SCHEDULER: 2}
OTHER_ZONE_PEERS = {holdings.Role.ENTRY: 1, holdings.Role.SCHEDULER: 0}
HEARTBEAT_PERIOD_S = 2.0
LINK_TIMEOUT_S = 6.0
HELLO_TIMEOUT_S = 2.0
REDIAL_PERIOD_S = 1.0
REVIEW_PERIOD_S = 1.0

_LOG = events.Logger(name=__name__)


class Peer:
    """The link to one peer while it is open.

    Args:
        member: The peer's member row, from its Hello message.
        channel: Channel to it.
        is_dialled: Whether this process opened the link.
        group: Task group whose tasks end with the link.
    """

    __slots__ = (
        "channel",
        "closed",
        "config_version",
        "follows_peers",
        "group",
        "is_dialled",
        "last_received_s",
        "member",
    )

    def __init__(
        self,
        *,
        member: holdings.MemberRow,
        channel: channels.Channel,
        is_dialled: bool,
        group: abc.TaskGroup,
    ):
        self.member = member
        self.channel = channel
        self.is_dialled = is_dialled
        self.group = group
        self.closed = anyio.Event()
        self.config_version = configurations.NO_VERSION
        self.follows_peers = False
        self.last_received_s = anyio.current_time()

    async def send(self, message: typing.Any) -> None:
        """Send a message.

        Raises:
            LinkClosedError: The link is closed.
        """
        await self.channel.send(message)

    def start(self, function: typing.Callable, *args: typing.Any) -> None:
        """Run a task that ends with the link; a link error closes the link."""
        self.group.start_soon(self._run, function, args)

    async def _run(self, function: typing.Callable, args: tuple) -> None:
        try:
            await function(*args)
        except errors.LinkError:
            self.close()

    def close(self) -> None:
        """End the link and its tasks."""
        self.group.cancel_scope.cancel()


Handler = typing.Callable[[typing.Any, Peer, typing.Any], typing.Awaitable]

HANDLERS: registry.Registry[Handler] = registry.Registry(kind="peer message")


def handles(message_type: type) -> typing.Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a message type.

    The handler receives the daemon that owns the link, the peer and the
    message. The next message of the link is read only after the handler
    has returned, so longer work belongs in a task started with
    `Peer.start`.

    Args:
        message_type: Type of the messages.
    """
    return HANDLERS.register(message_type.__name__)


def member_key(member: holdings.MemberRow) -> str:
    """Return the key of a peer among the links: its role and name."""
    return f"{member.role}/{member.name}"


def _pair_weight(one: str, other: str) -> bytes:
    pair = "|".join(sorted((one, other)))
    return hashlib.blake2b(pair.encode(), digest_size=8).digest()


def choose_peers(
    own: holdings.MemberRow, members: list[holdings.MemberRow]
) -> list[holdings.MemberRow]:
    """Return the members that a daemon keeps a link to.

    These are OWN_ZONE_PEERS members of its own zone and OTHER_ZONE_PEERS
    of each other zone, chosen by rendezvous hashing on the pair. Both ends
    therefore tend to choose each other, and the number of links of a
    daemon does not grow with the number of daemons.

    Args:
        own: The daemon's member row.
        members: Members that may be linked to.
    """
    own_key = member_key(own)
    zones: dict[str, list[holdings.MemberRow]] = {}
    for member in members:
        if member_key(member) != own_key:
            zones.setdefault(member.zone, []).append(member)
    chosen = []
    for zone, found in sorted(zones.items()):
        found.sort(key=lambda m: _pair_weight(own_key, member_key(m)))
        if zone == own.zone:
            chosen.extend(found[: OWN_ZONE_PEERS[own.role]])
        else:
            chosen.extend(found[: OTHER_ZONE_PEERS[own.role]])
    return chosen


class Peering:
    """The peer links of one daemon.

    Args:
        members: The daemon's membership.
        machine: Daemon object that is passed to the message handlers.
        dial_peer: Opens the channel to the peer at an address.
        addresses: Further addresses to dial, as host:port, so that the
            daemon can start while the platform is unreachable.
    """

    __slots__ = (
        "_addresses",
        "_chosen_addresses",
        "_dial_peer",
        "_group",
        "_keys_by_address",
        "_live_addresses",
        "_machine",
        "_maintained",
        "_members",
        "config_version",
        "follows_peers",
        "peers",
    )

    def __init__(
        self,
        *,
        members: membership.Membership,
        machine: typing.Any,
        dial_peer: typing.Callable,
        addresses: typing.Sequence[str] = (),
    ):
        self._members = members
        self._machine = machine
        self._dial_peer = dial_peer
        self._addresses = tuple(addresses)
        self._group: abc.TaskGroup | None = None
        self._maintained: set[str] = set()
        self._live_addresses: set[str] = set()
        self._keys_by_address: dict[str, str] = {}
        self._chosen_addresses: set[str] = set()
        self.config_version = configurations.NO_VERSION
        self.follows_peers = False
        self.peers: dict[str, Peer] = {}

    async def run(self) -> None:
        """Maintain the links until cancelled.

        While the platform is unreachable, the links to the peers chosen
        last are maintained.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                changed = self._members.changed
                self._start_links()
                with anyio.move_on_after(REVIEW_PERIOD_S):
                    await changed.wait()
                    self._choose_peers()

    def _choose_peers(self) -> None:
        own = self._members.own
        live = self._members.live(holdings.Role.ENTRY)
        addresses = {member.peer_address for member in live}
        if addresses == self._live_addresses:
            return
        self._live_addresses = addresses
        chosen = choose_peers(own, live)
        if chosen:
            self._chosen_addresses = {member.peer_address for member in chosen}
        for member in chosen:
            self._keys_by_address[member.peer_address] = member_key(member)

    def _start_links(self) -> None:
        own_address = self._members.own.peer_address
        addresses = self._chosen_addresses.union(self._addresses) - {
            own_address
        }
        for address in sorted(addresses - self._maintained):
            self._maintained.add(address)
            self._group.start_soon(self._maintain_link, address)

    async def _maintain_link(self, address: str) -> None:
        """Maintain the link to an address while it is chosen or fixed."""
        logged_reason = ""
        while address in self._chosen_addresses or address in self._addresses:
            key = self._keys_by_address.get(address, "")
            if key and key < member_key(self._members.own):
                # The peer with the smaller key dials; this one dials only
                # if no link was opened within the period.
                await anyio.sleep(REDIAL_PERIOD_S)
            peer = self.peers.get(key)
            if peer is not None:
                await peer.closed.wait()
                continue
            reason = ""
            try:
                await self._dial(address)
            except errors.LinkError as exc:
                reason = str(exc)
            if reason and reason != logged_reason:
                _LOG.log(events.PEER_LOST, peer=address, reason=reason)
            logged_reason = reason
            await anyio.sleep(REDIAL_PERIOD_S)
        self._maintained.discard(address)

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            member=self._members.own,
            config_version=self.config_version,
            topic=messages.Topic.PEER,
        )

    async def _dial(self, address: str) -> None:
        async with self._dial_peer(address=address) as channel:
            await channel.send(self._hello())
            hello = await _receive_hello(channel)
            self._keys_by_address[address] = member_key(hello.member)
            await self._serve_link(hello, channel, is_dialled=True)

    async def serve(self, channel: channels.Channel) -> None:
        """Serve a link that a peer has opened until it closes.

        Args:
            channel: Channel to the peer.

        Raises:
            LinkError: The peer sent no Hello message in time.
        """
        await self.serve_after_hello(await _receive_hello(channel), channel)

    async def serve_after_hello(
        self, hello: messages.Hello, channel: channels.Channel
    ) -> None:
        """Serve a link whose Hello message has been received.

        Args:
            hello: The Hello message of the peer.
            channel: Channel to the peer.

        Raises:
            LinkError: The link closed before the answer was sent.
        """
        await channel.send(self._hello())
        await self._serve_link(hello, channel, is_dialled=False)

    async def _serve_link(
        self,
        hello: messages.Hello,
        channel: channels.Channel,
        *,
        is_dialled: bool,
    ) -> None:
        key = member_key(hello.member)
        async with anyio.create_task_group() as group:
            peer = Peer(
                member=hello.member,
                channel=channel,
                is_dialled=is_dialled,
                group=group,
            )
            peer.config_version = hello.config_version
            before = self.peers.get(key)
            if before is not None and not self._is_preferred(peer, before):
                return
            if before is not None:
                before.close()
            self.peers[key] = peer
            _LOG.log(events.PEER_CONNECTED, peer=key)
            try:
                peer.start(self._send_heartbeats, peer)
                peer.start(self._check_timeout, peer)
                await self._receive(peer)
            finally:
                self._remove(key, peer)
        _LOG.log(events.PEER_LOST, peer=key, reason="closed")

    def _remove(self, key: str, peer: Peer) -> None:
        if self.peers.get(key) is peer:
            del self.peers[key]
        peer.closed.set()

    def _is_preferred(self, new: Peer, old: Peer) -> bool:
        # Both keep the link that the daemon with the smaller key has opened.
        if new.is_dialled == old.is_dialled:
            return True
        if new.member.incarnation != old.member.incarnation:
            return True
        is_smaller = member_key(self._members.own) < member_key(new.member)
        return new.is_dialled == is_smaller

    async def _receive(self, peer: Peer) -> None:
        with contextlib.suppress(errors.LinkError):
            while True:
                message = await peer.channel.receive()
                peer.last_received_s = anyio.current_time()
                name = type(message).__name__
                if name not in HANDLERS.names():
                    _LOG.log(events.PEER_MESSAGE_IGNORED, type=name)
                    continue
                await HANDLERS.get(name)(self._machine, peer, message)
        peer.close()

    def publish_version(self, version: int) -> None:
        """Publish the version of the configuration in force.

        Peers get it with the next heartbeat, operators through the member
        row.

        Args:
            version: The version.
        """
        self.config_version = version
        self._members.own.config_version = version

    def publish_followers(self) -> None:
        """Publish the versions of peers that can't reach the platform.

        Their own member rows can't be written meanwhile.
        """
        self._members.own.followers = {
            key: peer.config_version
            for key, peer in self.peers.items()
            if peer.follows_peers
        }

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat to each peer now."""
        for peer in self.peers.values():
            peer.start(peer.send, self._heartbeat())

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            config_version=self.config_version,
            follows_peers=self.follows_peers,
        )

    async def _send_heartbeats(self, peer: Peer) -> None:
        while True:
            await peer.send(self._heartbeat())
            await anyio.sleep(HEARTBEAT_PERIOD_S)

    async def _check_timeout(self, peer: Peer) -> None:
        while True:
            idle_s = anyio.current_time() - peer.last_received_s
            if idle_s >= LINK_TIMEOUT_S:
                raise errors.LinkClosedError(
                    "no message from the peer within the link timeout"
                )
            await anyio.sleep(LINK_TIMEOUT_S - idle_s)


async def _receive_hello(channel: channels.Channel) -> messages.Hello:
    with anyio.move_on_after(HELLO_TIMEOUT_S):
        hello = await channel.receive()
        if isinstance(hello, messages.Hello):
            return hello
    raise errors.LinkClosedError(
        "the peer sent no Hello message within the timeout"
    )
