"""Simulated processes and links that can be cut, frozen and killed.

A process is a cancel scope. A link forwards method calls directly; a call
waits while its caller is frozen, and fails if the link is cut or its callee
has been killed. Tests run the simulation in virtual time.
"""

import functools
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.links import channels
from wisteriawood.links import targets as target_links
from wisteriawood.standins import targets

if typing.TYPE_CHECKING:
    from wisteriawood.standins import worlds

PLATFORM = "platform"
CALL_TIMEOUT_S = 2.0


class Process:
    """A simulated process that can be frozen and killed.

    Args:
        name: Name of the process.

    Attributes:
        is_alive: Whether the process has not been killed.
        scope: Cancel scope in which the process runs.
        thawed: Event that is set while the process is not frozen.
    """

    __slots__ = ("is_alive", "name", "scope", "thawed")

    def __init__(self, *, name: str):
        self.name = name
        self.is_alive = True
        self.scope = anyio.CancelScope()
        self.thawed = anyio.Event()
        self.thawed.set()

    def freeze(self) -> None:
        """Suspend its calls and messages, as SIGSTOP does."""
        if self.thawed.is_set():
            self.thawed = anyio.Event()

    def thaw(self) -> None:
        """Resume it after a freeze, as SIGCONT does."""
        self.thawed.set()

    def kill(self) -> None:
        """Kill it immediately."""
        self.is_alive = False
        self.scope.cancel()


class FaultyLink:
    """Calls from one process to another, subject to injected faults.

    Args:
        world: Environment that holds the cuts and delays.
        process: The calling process.
        peer: Name of the process that is called.
        inner: Object that executes the calls.
        make_not_run_error: Makes the error for a call that had no effect.
        make_unknown_error: Makes the error for a call that may have had an
            effect.
    """

    __slots__ = (
        "_inner",
        "_peer",
        "_process",
        "_make_unknown_error",
        "_make_not_run_error",
        "_world",
    )

    def __init__(
        self,
        *,
        world: "worlds.World",
        process: Process,
        peer: str,
        inner: typing.Any,
        make_not_run_error: typing.Callable[[str], Exception],
        make_unknown_error: typing.Callable[[str], Exception],
    ):
        self._world = world
        self._process = process
        self._peer = peer
        self._inner = inner
        self._make_not_run_error = make_not_run_error
        self._make_unknown_error = make_unknown_error

    def __getattr__(self, name: str) -> typing.Any:
        call = getattr(self._inner, name)
        return functools.partial(self._call, call)

    async def _call(self, call, *args, **kwargs) -> typing.Any:
        await self._process.thawed.wait()
        world = self._world
        name = self._process.name
        world.calls.append((name, self._peer, call.__name__))
        if world.is_dead(self._peer):
            raise self._make_not_run_error("refused")
        if world.is_cut(name, self._peer):
            await anyio.sleep(CALL_TIMEOUT_S)
            raise self._make_unknown_error("no answer")
        if world.delay_s(name, self._peer):
            call = functools.partial(self._call_with_delay, call)
        result = await call(*args, **kwargs)
        await anyio.sleep(world.delay_s(self._peer, name))
        if world.is_cut(self._peer, name):
            await anyio.sleep(CALL_TIMEOUT_S)
            raise self._make_unknown_error("no answer")
        await self._process.thawed.wait()
        return result

    async def _call_with_delay(self, call, *args, **kwargs) -> typing.Any:
        """Make a call that arrives even if its caller has been killed."""
        delayed = DelayedCall(
            delay_s=self._delay_s(),
            is_dead=functools.partial(self._world.is_dead, self._peer),
        )
        self._world.start_soon(delayed.run, call, args, kwargs)
        with anyio.move_on_after(CALL_TIMEOUT_S):
            await delayed.done.wait()
        if not delayed.done.is_set():
            raise self._make_unknown_error("no answer")
        if delayed.error is not None:
            raise delayed.error
        return delayed.result

    def _delay_s(self) -> float:
        return self._world.delay_s(self._process.name, self._peer)


class DelayedCall:
    """A call that is executed after a network delay.

    Args:
        delay_s: Delay in seconds.
        is_dead: Returns whether the called process has been killed.

    Attributes:
        done: Event that is set when the call has returned.
        error: Error that the call raised, if any.
        result: Return value of the call.
    """

    __slots__ = ("_delay_s", "_is_dead", "done", "error", "result")

    def __init__(self, *, delay_s: float, is_dead: typing.Callable[[], bool]):
        self._delay_s = delay_s
        self._is_dead = is_dead
        self.done = anyio.Event()
        self.error: Exception | None = None
        self.result: typing.Any = None

    async def run(self, call, args, kwargs) -> None:
        """Execute the call after the delay, unless the receiver is dead."""
        await anyio.sleep(self._delay_s)
        if self._is_dead():
            return
        try:
            self.result = await call(*args, **kwargs)
        except errors.WisteriawoodError as exc:
            self.error = exc
        self.done.set()


class FaultyChannel:
    """One end of a peer link, subject to injected faults.

    Args:
        world: Environment that holds the cuts and delays.
        process: The process at this end.
        peer: Name of the process at the other end.
        inner: The channel in memory.
    """

    __slots__ = ("_inner", "_peer", "_process", "_world")

    def __init__(
        self,
        *,
        world: "worlds.World",
        process: Process,
        peer: str,
        inner: channels.MemoryChannel,
    ):
        self._world = world
        self._process = process
        self._peer = peer
        self._inner = inner

    async def send(self, message: typing.Any) -> None:
        """Send a message; it is lost if the link is cut."""
        await self._process.thawed.wait()
        if self._world.is_cut(self._process.name, self._peer):
            return
        await anyio.sleep(self._world.delay_s(self._process.name, self._peer))
        await self._inner.send(message)

    async def receive(self) -> typing.Any:
        """Wait for the next message."""
        message = await self._inner.receive()
        await self._process.thawed.wait()
        return message

    async def aclose(self) -> None:
        """Close the link."""
        await self._inner.aclose()


class MemoryTargetLink:
    """Link to a target stand-in in the same process.

    Args:
        group: Task group that runs requests after their caller has gone.
        target: The target stand-in.
    """

    __slots__ = ("_group", "_target")

    def __init__(self, *, group: abc.TaskGroup, target: targets.StandinTarget):
        self._group = group
        self._target = target

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Send a request and return the complete answer.

        Raises:
            RequestNotRunError: The latest time to send it has passed.
            RequestUnknownError: There was no answer within timeout_s, or
                the answer belongs to another request.
        """
        if anyio.current_time() >= request.send_by_s:
            raise errors.RequestNotRunError(reason=target_links.SEND_TOO_LATE)
        replies: list[targets.Reply] = []
        done = anyio.Event()

        async def _run() -> None:
            replies.append(
                await self._target.serve(
                    request_id=request.id,
                    key=request.key,
                    body=request.body,
                )
            )
            done.set()

        self._group.start_soon(_run)
        with anyio.move_on_after(timeout_s):
            await done.wait()
        if not replies:
            raise errors.RequestUnknownError(reason="no answer in time")
        reply = replies[0]
        if reply.request_id != request.id:
            raise errors.RequestUnknownError(
                reason="answer to another request"
            )
        return requests.Answer(
            request_id=request.id, status=reply.status, body=reply.body
        )

    async def aclose(self) -> None:
        """Do nothing; the target keeps running."""
