"""Target links that also accept answers after the deadline."""

import dataclasses
import typing

import anyio
from anyio import abc

from wisteriawood.contracts import requests
from wisteriawood.contracts import terms
from wisteriawood import errors
from wisteriawood.links import targets as target_links
from wisteriawood.machines import announcements
from wisteriawood.machines import targets

OnLateAnswer = typing.Callable[[requests.Request, requests.Answer], None]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Call:
    """One call of a target.

    Attributes:
        request: The request.
        answer: The target's answer, once received.
        error: Why there is no answer.
        is_abandoned: Whether no caller waits for the call any more.
        done: Set once the call has ended.
    """

    request: requests.Request
    answer: requests.Answer | None = None
    error: errors.RequestError | None = None
    is_abandoned: bool = False
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class LateAnswerLink:
    """A link that waits for the target's answer beyond the deadline.

    A target may continue to work on a request whose caller no longer
    waits. The slot is released when the target answers, however late.

    Args:
        inner: The link that carries the requests.
        target: The target whose slots the requests use.
        announcement: Announcement of the longest request time.
        group: Task group that runs the calls.
        on_late_answer: Called with an answer whose caller no longer waits.
    """

    __slots__ = (
        "_announcement",
        "_group",
        "_inner",
        "_on_late_answer",
        "_target",
    )

    def __init__(
        self,
        *,
        inner: target_links.TargetLink,
        target: targets.Target,
        announcement: announcements.RequestTimeAnnouncement,
        group: abc.TaskGroup,
        on_late_answer: OnLateAnswer,
    ):
        self._inner = inner
        self._target = target
        self._announcement = announcement
        self._group = group
        self._on_late_answer = on_late_answer

    async def send(
        self, request: requests.Request, *, timeout_s: float
    ) -> requests.Answer:
        """Send a request and return the complete answer."""
        left_s = request.deadline_s - anyio.current_time()
        allowed_s = await self._announcement.allow(left_s)
        if left_s > 0 and allowed_s <= 0:
            raise errors.RequestNotRunError(
                reason="this entry host has not announced itself yet"
            )
        copy = dataclasses.replace(
            request,
            deadline_s=min(
                request.deadline_s, anyio.current_time() + allowed_s
            ),
            send_by_s=self._target.usable_until_s(),
        )
        call = Call(request=copy)
        self._group.start_soon(self._run, call)
        try:
            with anyio.move_on_after(timeout_s):
                await call.done.wait()
        finally:
            if not call.done.is_set():
                call.is_abandoned = True
                self._target.late_calls += 1
        if call.answer is not None:
            return call.answer
        raise call.error or errors.RequestUnknownError(
            reason="the target did not answer in time"
        )

    async def _run(self, call: Call) -> None:
        try:
            call.answer = await self._inner.send(
                call.request, timeout_s=terms.HORIZON_S
            )
        except errors.RequestError as exc:
            call.error = exc
        except Exception as exc:
            # An unexpected error of one call must not cancel the calls of
            # all others in the task group.
            call.error = errors.RequestUnknownError(
                reason=f"the target did not answer: {exc!r}", status=502
            )
        call.done.set()
        if not call.is_abandoned:
            return
        is_done = not isinstance(call.error, errors.RequestUnknownError)
        self._target.record_late_end(is_done=is_done)
        if call.answer is not None:
            self._on_late_answer(call.request, call.answer)

    async def aclose(self) -> None:
        """Close the link."""
        await self._inner.aclose()
