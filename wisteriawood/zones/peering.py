"""Peer links of a daemon: one link for each pair, one task for each peer.

Entry hosts link with each other; schedulers dial entry hosts.
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
        member: The peer's member row, from its hello.
        channel: Channel to it.
        is_dialled: Whether this process dialled.
        group: Runs tasks that end with the link.
    """

    __slots__ = (
        "channel",
        "closed",
        "config_version",
        "follows_peers",
        "group",
        "is_dialled",
        "last_heard_s",
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
        self.last_heard_s = anyio.current_time()

    async def send(self, message: typing.Any) -> None:
        """Send a message.

        Raises:
            LinkClosedError: The link broke.
        """
        await self.channel.send(message)

    def start(self, function: typing.Callable, *args: typing.Any) -> None:
        """Run a task that ends with the link; its link errors close it."""
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

    The handler gets the machine that owns the link, the peer and the
    message. The link's next message waits for it, so that a handler with
    longer work hands it to `Peer.start`.

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

    A few of its own zone and, for an entry host, fewer of each other
    zone, by rendezvous hashing on the pair, so that both ends tend to
    choose each other and the links of one daemon do not grow with the
    number of daemons.

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
        machine: Object that the handlers of messages get.
        dial_peer: Opens the channel to the peer at an address.
        addresses: Further addresses to dial, as host:port, for a start
            without the platform.
    """

    __slots__ = (
        "_addresses",
        "_dial_peer",
        "_group",
        "_kept",
        "_live_addresses",
        "_machine",
        "_members",
        "_names",
        "_wanted",
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
        self._kept: set[str] = set()
        self._live_addresses: set[str] = set()
        self._names: dict[str, str] = {}
        self._wanted: set[str] = set()
        self.config_version = configurations.NO_VERSION
        self.follows_peers = False
        self.peers: dict[str, Peer] = {}

    async def run(self) -> None:
        """Keep the links, for ever.

        With the platform cut off, the members last read stay wanted.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                changed = self._members.changed
                self._review()
                with anyio.move_on_after(REVIEW_PERIOD_S):
                    await changed.wait()
                    self._choose()

    def _choose(self) -> None:
        own = self._members.own
        live = self._members.live(holdings.Role.ENTRY)
        addresses = {member.peer_address for member in live}
        if addresses == self._live_addresses:
            return
        self._live_addresses = addresses
        chosen = choose_peers(own, live)
        if chosen:
            self._wanted = {member.peer_address for member in chosen}
        for member in chosen:
            self._names[member.peer_address] = member_key(member)

    def _review(self) -> None:
        own_address = self._members.own.peer_address
        wanted = self._wanted.union(self._addresses) - {own_address}
        for address in sorted(wanted - self._kept):
            self._kept.add(address)
            self._group.start_soon(self._keep, address)

    async def _keep(self, address: str) -> None:
        """Keep the link to one peer while it is wanted, straight down."""
        told = ""
        while address in self._wanted or address in self._addresses:
            name = self._names.get(address, "")
            if name and name < member_key(self._members.own):
                # The smaller name dials; the other only if it does not.
                await anyio.sleep(REDIAL_PERIOD_S)
            peer = self.peers.get(name)
            if peer is not None:
                await peer.closed.wait()
                continue
            reason = ""
            try:
                await self._dial(address)
            except errors.LinkError as exc:
                reason = str(exc)
            if reason and reason != told:
                _LOG.log(events.PEER_LOST, peer=address, reason=reason)
            told = reason
            await anyio.sleep(REDIAL_PERIOD_S)
        self._kept.discard(address)

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
            self._names[address] = member_key(hello.member)
            await self._hold(hello, channel, is_dialled=True)

    async def serve(self, channel: channels.Channel) -> None:
        """Serve a link that a peer has dialled, until it breaks.

        Args:
            channel: Channel to the peer.

        Raises:
            LinkError: The peer said no hello.
        """
        await self.welcome(await _receive_hello(channel), channel)

    async def welcome(
        self, hello: messages.Hello, channel: channels.Channel
    ) -> None:
        """Serve a link whose hello has been received.

        Args:
            hello: The peer's hello.
            channel: Channel to the peer.

        Raises:
            LinkError: The link broke before it was open.
        """
        await channel.send(self._hello())
        await self._hold(hello, channel, is_dialled=False)

    async def _hold(
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
            if before is not None and not self._replaces(peer, before):
                return
            if before is not None:
                before.close()
            self.peers[key] = peer
            _LOG.log(events.PEER_CONNECTED, peer=key)
            try:
                peer.start(self._send_heartbeats, peer)
                peer.start(self._watch, peer)
                await self._receive(peer)
            finally:
                self._forget(key, peer)
        _LOG.log(events.PEER_LOST, peer=key, reason="closed")

    def _forget(self, key: str, peer: Peer) -> None:
        if self.peers.get(key) is peer:
            del self.peers[key]
        peer.closed.set()

    def _replaces(self, new: Peer, old: Peer) -> bool:
        # Both ends keep the link that the smaller name has dialled.
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
                peer.last_heard_s = anyio.current_time()
                name = type(message).__name__
                if name not in HANDLERS.names():
                    _LOG.log(events.PEER_MESSAGE_IGNORED, type=name)
                    continue
                await HANDLERS.get(name)(self._machine, peer, message)
        peer.close()

    def note_version(self, version: int) -> None:
        """Tell peers and operators the configuration in force here.

        Args:
            version: Its version.
        """
        self.config_version = version
        self._members.own.config_version = version

    def note_followers(self) -> None:
        """Tell operators of the peers that can't tell them themselves."""
        self._members.own.followers = {
            key: peer.config_version
            for key, peer in self.peers.items()
            if peer.follows_peers
        }

    def announce(self) -> None:
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

    async def _watch(self, peer: Peer) -> None:
        while True:
            silent_s = anyio.current_time() - peer.last_heard_s
            if silent_s >= LINK_TIMEOUT_S:
                raise errors.LinkClosedError("the peer is silent")
            await anyio.sleep(LINK_TIMEOUT_S - silent_s)


async def _receive_hello(channel: channels.Channel) -> messages.Hello:
    with anyio.move_on_after(HELLO_TIMEOUT_S):
        hello = await channel.receive()
        if isinstance(hello, messages.Hello):
            return hello
    raise errors.LinkClosedError("the peer said no hello")
