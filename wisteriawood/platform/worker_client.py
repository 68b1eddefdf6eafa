"""Client of a worker of the platform."""

import dataclasses
import math

import anyio
import httpx
import msgspec

from wisteriawood import errors
from wisteriawood.jobs import tasks
from wisteriawood.links import clients
from wisteriawood.links.codecs import bounds
from wisteriawood.links.codecs import rows
from wisteriawood.links import runners
from wisteriawood.links import transports
from wisteriawood.telemetry import events
from wisteriawood.telemetry import job_events

_LOG = events.Logger(name=__name__)

CALL_TIMEOUT_S = 0.8
# Limit of a whole call to start a run, including the wait for a connection.
START_TIMEOUT_S = 1.0
# Time that an answer may take in addition to the requested wait.
RENEW_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# Most ended runs of one report; the next ones follow once these are
# acknowledged.
MAX_REPORTED_ENDS = 500
MAX_CONNECTIONS = 4

# Errors of a call before anything of it was sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_REFUSALS = {
    "fence": runners.StartResult.FENCED,
    "old": runners.StartResult.OLD_RUN,
    "late": runners.StartResult.TOO_LATE,
    "room": runners.StartResult.NO_CAPACITY,
    "ticket": runners.StartResult.NO_TICKET,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class _Refusal:
    reason: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Clock:
    clock_ms: bounds.Measure


# The fields of the short lists in reports.
_ACTIVE_FIELDS = ("task", "run", "checkpoint", "percent", "signal")
_END_FIELDS = ("number", "task", "run", "outcome", "checkpoint")
_ReportedRun = list[int | float | str | None]


@dataclasses.dataclass(slots=True, kw_only=True)
class _ActiveRun:
    task: bounds.Name
    run: bounds.Number
    checkpoint: str | None = ""
    percent: bounds.Measure = 0
    # Tail latency of a latency-sensitive task in ms, of any other task its
    # CPU usage in millicores.
    signal: bounds.Measure = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _EndedRun:
    number: bounds.Number
    task: bounds.Name
    run: bounds.Number
    outcome: tasks.Outcome
    checkpoint: str | None = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Report:
    clock_ms: bounds.Number
    active: list[_ReportedRun] = dataclasses.field(default_factory=list)
    finished: list[_ReportedRun] = dataclasses.field(default_factory=list)
    # Start of this instance of the worker, in Unix milliseconds.
    born: bounds.UnixMs = 0


class WorkerClient:
    """Client of one worker over HTTP; implements links.runners.RunLink.

    Args:
        registration: Directory entry of the worker.
        transport: HTTP transport; None for the default.
    """

    __slots__ = ("_client", "_headers")

    def __init__(
        self,
        *,
        registration: runners.Registration,
        transport: httpx.AsyncBaseTransport | None = None,
    ):
        self._client = clients.Client(
            url=f"http://{registration.address}",
            timeout_s=CALL_TIMEOUT_S,
            connections=MAX_CONNECTIONS,
            transport=transport,
            is_light=True,
        )
        self._headers = [
            ("content-type", "application/json"),
            (
                "x-expect-instance",
                registration.full_id or registration.worker_id,
            ),
        ]

    async def _call(
        self,
        path: str,
        body: dict,
        timeout_s: float = CALL_TIMEOUT_S,
        instance: transports.Instance | None = None,
    ) -> clients.Response:
        try:
            response = await self._client.request(
                "POST",
                path,
                headers=self._headers,
                content=msgspec.json.encode(body),
                timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
                instance=instance,
            )
        except transports.OtherInstanceError as exc:
            raise runners.RestartedError("the worker has restarted") from exc
        except httpx.RemoteProtocolError as exc:
            raise errors.LinkEndedError(
                f"the worker ended the connection: {exc!r}"
            ) from exc
        except _NOT_SENT as exc:
            raise runners.NotSentError(
                f"no connection to the worker: {exc!r}"
            ) from exc
        except (httpx.HTTPError, httpx.InvalidURL) as exc:
            raise errors.LinkClosedError(
                f"the worker does not answer: {exc!r}"
            ) from exc
        _check_instance(response)
        return response

    def _make_instance(
        self, started_unix_ms: int, token: int
    ) -> transports.Instance | None:
        """Return the instance of the worker's process for a call.

        The header that names the worker is the same for all its instances.

        Args:
            started_unix_ms: Its start time; 0 for any instance.
            token: Fencing token.
        """
        if not started_unix_ms:
            return None

        async def _identify(send: transports.Send) -> int:
            response = await send(
                "/v1/hold",
                msgspec.json.encode({"fencing_token": token, "last_seen": 0}),
                httpx.Timeout(CALL_TIMEOUT_S),
            )
            _check_instance(response)
            if _refusal_reason(response) == "fence":
                raise runners.FencedError("the worker has seen a higher token")
            if response.status_code != 200:
                raise runners.NotSentError(
                    f"the worker answered {response.status_code} when it was "
                    "asked for its instance"
                )
            return _decode_report(response.content).started_unix_ms

        return transports.Instance(number=started_unix_ms, identify=_identify)

    async def _send_command(self, path: str, body: dict) -> None:
        """Send a command that a worker refuses only if a newer holder exists.

        Raises:
            FencedError: The worker has seen a higher token.
            LinkClosedError: The worker didn't answer as expected; the command
                may have been carried out.
        """
        response = await self._call(path, body)
        if response.status_code == 200:
            return
        if _refusal_reason(response) == "fence":
            raise runners.FencedError("the worker has seen a higher token")
        if response.status_code == 409:
            # The run is no longer on the worker; the next report shows it.
            return
        raise errors.LinkClosedError(
            f"the worker answered {response.status_code}"
        )

    async def start(
        self, command: runners.StartRunCommand
    ) -> runners.StartResult:
        """Start a run."""
        body = {
            "task": command.task_name,
            "run": command.run,
            "task_spec": command.payload,
            "deadline_ms": command.lease_until_ms,
            "fencing_token": command.token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        try:
            with anyio.fail_after(START_TIMEOUT_S):
                response = await self._call(
                    "/v1/run-start",
                    body,
                    instance=self._make_instance(
                        command.started_unix_ms, command.token
                    ),
                )
        except TimeoutError as exc:
            raise errors.LinkClosedError(
                f"the worker did not answer in {START_TIMEOUT_S} s"
            ) from exc
        runners.check_clock(command, _read_clock_ms(response))
        if response.status_code == 200:
            return runners.StartResult.STARTED
        if response.status_code in (429, 503):
            return runners.StartResult.UNHEALTHY
        return _REFUSALS.get(
            _refusal_reason(response), runners.StartResult.REFUSED
        )

    async def stop(self, task_name: str, run: int, token: int) -> None:
        """Stop a run."""
        await self._send_command(
            "/v1/run-stop",
            {"task": task_name, "run": run, "fencing_token": token},
        )

    async def pace(
        self, task_name: str, run: int, percent: int, token: int
    ) -> None:
        """Limit a run to a share of its full speed."""
        await self._send_command(
            "/v1/pace",
            {
                "task": task_name,
                "run": run,
                "percent": percent,
                "fencing_token": token,
            },
        )

    async def renew(
        self,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int,
        wait_ms: int,
        started_unix_ms: int = 0,
    ) -> runners.RunReport:
        """Renew the lease, acknowledge ended runs and return a report."""
        body = {"fencing_token": token, "last_seen": acknowledged}
        if lease_until_ms:
            body["deadline_ms"] = lease_until_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        response = await self._call(
            "/v1/hold",
            body,
            RENEW_TIMEOUT_S + wait_ms / 1000,
            self._make_instance(started_unix_ms, token),
        )
        if _refusal_reason(response) == "fence":
            raise runners.FencedError("the worker has seen a higher token")
        if response.status_code != 200:
            raise errors.LinkClosedError(
                f"the worker answered {response.status_code}"
            )
        return _decode_report(response.content)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def _check_instance(response: clients.Response) -> None:
    """Check that the intended worker has answered.

    Raises:
        OtherInstanceError: Another one has.
    """
    if response.status_code == 421:
        raise runners.OtherInstanceError(
            "another worker answers at the address"
        )


def _refusal_reason(response: clients.Response) -> str:
    if response.status_code != 409:
        return ""
    try:
        return rows.from_json(response.content, _Refusal).reason
    except errors.MessageError as exc:
        _LOG.log(job_events.REFUSAL_UNREADABLE, cause=str(exc))
        return ""


def _read_clock_ms(response: clients.Response) -> float:
    """Return the worker's clock in an answer; infinite if it has none."""
    if response.status_code not in (200, 409):
        return math.inf
    try:
        return rows.from_json(response.content, _Clock).clock_ms
    except errors.MessageError:
        return math.inf


def _decode_report(data: bytes) -> runners.RunReport:
    report = rows.from_json(data, _Report)
    return runners.RunReport(
        started_unix_ms=report.born or 1,
        clock_ms=report.clock_ms,
        active=[_decode_active(row) for row in report.active],
        ended=[_decode_ended(row) for row in report.finished],
        is_complete=len(report.finished) < MAX_REPORTED_ENDS,
    )


def _decode_active(row: _ReportedRun) -> runners.ActiveRun:
    run = rows.from_value(dict(zip(_ACTIVE_FIELDS, row)), _ActiveRun)
    return runners.ActiveRun(
        task_name=run.task,
        run=run.run,
        checkpoint=run.checkpoint or "",
        percent=run.percent,
        signal=run.signal,
    )


def _decode_ended(row: _ReportedRun) -> runners.EndedRun:
    run = rows.from_value(dict(zip(_END_FIELDS, row)), _EndedRun)
    return runners.EndedRun(
        number=run.number,
        task_name=run.task,
        run=run.run,
        outcome=run.outcome,
        checkpoint=run.checkpoint or "",
    )
