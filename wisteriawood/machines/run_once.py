"""Run-once requests: at most one run of each key despite failures."""

import dataclasses
import time
import typing
import uuid

import anyio
from anyio import abc

from wisteriawood.contracts import keys
from wisteriawood.contracts import requests
from wisteriawood.contracts import runonce
from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import commits
from wisteriawood.links import platforms
from wisteriawood.telemetry import events
from wisteriawood.zones import membership

RECORD_RETENTION_S = 24 * 3600.0
CLAIM_TIMEOUT_S = 2.0
STORE_TIMEOUT_S = 1.0
SHUTDOWN_STORE_TIMEOUT_S = 10.0
SHUTDOWN_POLL_PERIOD_S = 0.1
RETRY_AFTER_S = 2.0
RETRY_PERIOD_S = 0.5
REPEAT_POLL_PERIOD_S = 0.5
REPEAT_MARGIN_S = 0.1
SWEEP_PERIOD_S = 30.0
SWEEP_PAGE_ROWS = 100
MAX_ROW_BODY_BYTES = 16 * 1024

_LOG = events.Logger(name=__name__)

Dispatch = typing.Callable[
    [requests.Request], typing.Awaitable[requests.Answer]
]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class KeyClaim:
    """A claim of this process to an idempotency key, for one request.

    Attributes:
        row_key: Key of the record's row.
        record: The record.
        version: Version of the row; 0 while the key is not claimed.
        error: Why the key could not be claimed; None without an error.
        is_abandoned: Whether no caller waits for the claim any more.
        done: Set once the claim has succeeded or failed.
    """

    row_key: str
    record: runonce.RunOnceRecord
    version: int = 0
    error: errors.PlatformError | None = None
    is_abandoned: bool = False
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class RunOnce:
    """Claims idempotency keys in the table and stores the answers.

    Args:
        platform: Link to the platform.
        members: Membership of the entry host.
        wall_clock: Returns the Unix time in seconds.
    """

    __slots__ = (
        "_commits",
        "_group",
        "_members",
        "_pending_writes",
        "_platform",
        "_unanswered",
        "_wall_clock",
    )

    def __init__(
        self,
        *,
        platform: platforms.Platform,
        members: membership.Membership,
        wall_clock: typing.Callable[[], float] = time.time,
    ):
        self._platform = platform
        self._members = members
        self._wall_clock = wall_clock
        self._commits = commits.GroupCommit(platform=platform)
        self._group: abc.TaskGroup | None = None
        self._unanswered: dict[str, KeyClaim] = {}
        self._pending_writes = 0

    async def run(self) -> None:
        """Commit claims and answers, and delete expired records.

        Runs until cancelled.
        """
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._commits.run)
            group.start_soon(self._sweep_forever)

    async def wait_until_stored(self) -> None:
        """Wait until pending writes are done, within a time limit."""
        with anyio.move_on_after(SHUTDOWN_STORE_TIMEOUT_S):
            while self._pending_writes:
                await anyio.sleep(SHUTDOWN_POLL_PERIOD_S)

    async def serve(
        self, request: requests.Request, dispatch: Dispatch
    ) -> requests.Answer:
        """Run a request unless its key has been claimed before.

        Args:
            request: The request.
            dispatch: Sends the request to a target.

        Returns:
            The answer of the only run.

        Raises:
            RequestNotRunError: This attempt was not run.
            RequestUnknownError: A request with this key may have run.
        """
        while True:
            claim = await self._claim(request, condition=0)
            while not claim.version:
                row = await self._read_row(claim.row_key)
                if row is None:
                    break
                found = rows.from_value(row.value, runonce.RunOnceRecord)
                if found.expires_unix_s < self._wall_clock():
                    claim = await self._claim(request, condition=row.version)
                    continue
                answer = await self._repeated_answer(
                    request, claim.record, found
                )
                if answer is not None:
                    return answer
            if claim.version:
                return await self._run(request, claim, dispatch)

    async def _claim(
        self, request: requests.Request, *, condition: int
    ) -> KeyClaim:
        """Claim the key of a request before the request is sent."""
        if not self._members.is_reachable:
            raise _key_not_checked()
        now_unix_s = self._wall_clock()
        left_s = request.deadline_s - anyio.current_time()
        record = runonce.RunOnceRecord(
            key=request.key,
            request_id=request.id,
            owner=self._members.own.incarnation,
            digest=runonce.digest(request),
            until_unix_s=now_unix_s + left_s,
            expires_unix_s=now_unix_s + RECORD_RETENTION_S,
        )
        claim = KeyClaim(
            row_key=keys.run_once(request.team, request.key), record=record
        )
        self._group.start_soon(self._insert, claim, condition)
        try:
            with anyio.move_on_after(min(left_s, CLAIM_TIMEOUT_S)):
                await claim.done.wait()
        finally:
            claim.is_abandoned = not claim.done.is_set()
        if claim.is_abandoned or claim.error is not None:
            raise _key_not_checked()
        return claim

    async def _insert(self, claim: KeyClaim, condition: int) -> None:
        try:
            claim.version = await self._write(
                claim, condition, rows.to_value(claim.record)
            )
        except errors.TransactionConflictError:
            pass
        except errors.PlatformError as exc:
            claim.error = exc
        claim.done.set()
        if claim.is_abandoned and claim.version:
            # The caller got the answer that the request was not run, so
            # the key is released.
            await self._delete_record(claim)

    async def _write(
        self, claim: KeyClaim, condition: int, value: typing.Any
    ) -> int:
        key = claim.row_key
        return await self._commits.commit(
            conditions=[platforms.Condition(key=key, version=condition)],
            writes=[platforms.Write(key=key, value=value)],
        )

    async def _read_row(self, key: str) -> platforms.Row | None:
        try:
            return await self._platform.read(key)
        except errors.PlatformError as exc:
            raise errors.RequestUnknownError(
                reason="the key was used before, and its answer can't be "
                "read now; repeat the request later",
                status=503,
            ) from exc

    async def _repeated_answer(
        self,
        request: requests.Request,
        own: runonce.RunOnceRecord,
        found: runonce.RunOnceRecord,
    ) -> requests.Answer | None:
        """Return the stored answer, or None if the row is to be read again.

        Waits for REPEAT_POLL_PERIOD_S before it returns None, while the
        first request with this key may still be answered.
        """
        if found.digest != own.digest:
            raise errors.RequestNotRunError(
                reason="the key was used for another request; "
                "use a new key for each",
                status=422,
            )
        if found.status:
            return await self._stored_answer(request, found)
        left_s = request.deadline_s - anyio.current_time()
        is_running = found.until_unix_s > self._wall_clock()
        if not is_running or left_s <= REPEAT_POLL_PERIOD_S + REPEAT_MARGIN_S:
            raise errors.RequestUnknownError(
                reason="a request of this key was sent, and its end is not "
                "known",
                status=409,
            )
        await anyio.sleep(REPEAT_POLL_PERIOD_S)
        return None

    async def _stored_answer(
        self, request: requests.Request, found: runonce.RunOnceRecord
    ) -> requests.Answer:
        body: bytes | None = found.body
        if found.body_object:
            try:
                body = await self._platform.get_object(found.body_object)
            except errors.PlatformError:
                body = None
        if body is None or len(body) != found.body_bytes:
            raise errors.RequestUnknownError(
                reason="it ran, and its stored answer can't be read now; "
                "repeat the request later",
                status=503,
            )
        return requests.Answer(
            request_id=request.id,
            status=found.status,
            headers=list(found.headers),
            body=body,
        )

    async def _run(
        self, request: requests.Request, claim: KeyClaim, dispatch: Dispatch
    ) -> requests.Answer:
        self._unanswered[request.id] = claim
        try:
            answer = await dispatch(request)
        except errors.RequestNotRunError:
            del self._unanswered[request.id]
            await self._run_write(self._delete_record, claim)
            raise
        self._unanswered.pop(request.id, None)
        await self._run_write(self._store, claim, answer)
        return answer

    async def _run_write(self, function: typing.Callable, *args) -> None:
        """Run a write in the background, and wait briefly for its end.

        The write continues if it takes longer than STORE_TIMEOUT_S.
        """
        done = anyio.Event()

        async def _finish() -> None:
            self._pending_writes += 1
            try:
                await function(*args)
            finally:
                self._pending_writes -= 1
            done.set()

        self._group.start_soon(_finish)
        with anyio.move_on_after(STORE_TIMEOUT_S):
            await done.wait()

    def store_late_answer(
        self, request: requests.Request, answer: requests.Answer
    ) -> None:
        """Store an answer whose caller no longer waits.

        Args:
            request: The request.
            answer: The target's answer to the request.
        """
        claim = self._unanswered.pop(request.id, None)
        if claim is not None:
            self._group.start_soon(self._run_write, self._store, claim, answer)

    async def _delete_record(self, claim: KeyClaim) -> None:
        await self._write_until_done(claim, lambda: None)

    async def _store(self, claim: KeyClaim, answer: requests.Answer) -> None:
        record = claim.record
        record.status = answer.status
        record.headers = list(answer.headers)
        record.body_bytes = len(answer.body)
        if len(answer.body) <= MAX_ROW_BODY_BYTES:
            record.body = answer.body
        else:
            record.body_object = f"once/{uuid.uuid4().hex}"
            await self._put_until_done(record.body_object, answer.body)
        await self._write_until_done(claim, lambda: rows.to_value(record))

    async def _put_until_done(self, key: str, body: bytes) -> None:
        while True:
            try:
                await self._platform.put_object(key, body)
                return
            except errors.PlatformError:
                await anyio.sleep(RETRY_PERIOD_S)

    async def _write_until_done(
        self, claim: KeyClaim, value: typing.Callable[[], typing.Any]
    ) -> None:
        while True:
            try:
                await self._write(claim, claim.version, value())
                return
            except errors.TransactionConflictError:
                _LOG.log(events.RUN_ONCE_CHANGED, key=claim.row_key)
                return
            except errors.PlatformError:
                await anyio.sleep(RETRY_PERIOD_S)

    async def _sweep_forever(self) -> None:
        after = ""
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            try:
                after = await self._sweep(after)
            except errors.PlatformError:
                continue

    async def _sweep(self, after: str) -> str:
        """Delete the expired records of one page of rows.

        Returns:
            The last key of the page; empty after the last page.
        """
        page = await self._platform.scan(
            keys.run_once_records(), after=after, limit=SWEEP_PAGE_ROWS
        )
        for row in page:
            record = rows.from_value(row.value, runonce.RunOnceRecord)
            if record.expires_unix_s < self._wall_clock():
                claim = KeyClaim(
                    row_key=row.key, record=record, version=row.version
                )
                await self._delete_record(claim)
        return page[-1].key if len(page) == SWEEP_PAGE_ROWS else ""


def _key_not_checked() -> errors.RequestNotRunError:
    return errors.RequestNotRunError(
        reason="the platform's table can't be reached, so the key can't be "
        "checked; this attempt was not run",
        status=503,
        retry_after_s=RETRY_AFTER_S,
    )
