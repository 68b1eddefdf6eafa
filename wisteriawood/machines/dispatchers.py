"""Dispatching: sends requests to targets and retries failed attempts."""

import dataclasses

import anyio

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.machines import outliers
from wisteriawood.machines import services
from wisteriawood.machines import targets
from wisteriawood.telemetry import spans

FAILURE_P99_FACTOR = 2.0
FULL_TIMEOUT_SHARE = 0.99


class FailedAttempts:
    """Failed attempts of one request."""

    __slots__ = ("failures", "tried", "unknown")

    def __init__(self):
        self.failures = 0
        self.tried: frozenset[str] = frozenset()
        self.unknown: errors.RequestUnknownError | None = None

    def add(self, target: targets.Target, exc: errors.RequestError) -> None:
        """Record a failed attempt.

        Args:
            target: Target where the attempt failed.
            exc: The failure.
        """
        self.failures += 1
        self.tried |= {target.id}
        if isinstance(exc, errors.RequestUnknownError):
            self.unknown = exc

    def outcome(self, exc: errors.RequestError) -> errors.RequestError:
        """Return the error for the caller.

        It is a RequestNotRunError only if no attempt can have run.

        Args:
            exc: The latest failure.
        """
        return self.unknown or exc


class Dispatcher:
    """Sends requests to the targets of their services.

    Args:
        services: Services of the entry host, by team and name.
        tracer: Creates the spans.
    """

    __slots__ = ("_services", "_tracer")

    def __init__(
        self,
        *,
        services: dict[tuple[str, str], services.Service],
        tracer: spans.Tracer,
    ):
        self._services = services
        self._tracer = tracer

    async def dispatch(self, request: requests.Request) -> requests.Answer:
        """Send a request to a target, and retry where that is safe.

        A request that no target can have run is retried whatever its
        class; a request with an unknown outcome only if it is repeatable.

        Args:
            request: The request.

        Returns:
            The complete answer of a target.

        Raises:
            RequestNotRunError: No target has run it.
            RequestUnknownError: A target may have run it.
        """
        service = self._find(request)
        attempts = FailedAttempts()
        while True:
            try:
                target = await service.acquire(request, tried=attempts.tried)
            except errors.RequestNotRunError as exc:
                raise attempts.outcome(exc) from exc
            try:
                return await self._attempt(service, target, request)
            except errors.RequestError as exc:
                attempts.add(target, exc)
                if not _is_safe_to_retry(request, exc):
                    raise attempts.outcome(exc) from exc
                pause_s = service.retrying.spend(failures=attempts.failures)
                if pause_s is None:
                    raise attempts.outcome(exc) from exc
            await anyio.sleep(pause_s)

    def _find(self, request: requests.Request) -> services.Service:
        service = self._services.get((request.team, request.service))
        if service is None:
            raise errors.RequestNotRunError(
                reason=f"team {request.team!r} has no service "
                f"{request.service!r} here",
                status=404,
            )
        return service

    async def _attempt(
        self,
        service: services.Service,
        target: targets.Target,
        request: requests.Request,
    ) -> requests.Answer:
        sent_s = anyio.current_time()
        timeout_s = service.attempt_timeout_s(target, request)
        result = services.AttemptResult(until_s=sent_s + timeout_s)
        try:
            answer = await self._send(service, target, request, timeout_s)
            result.is_done = True
            result.verdict = outliers.Verdict.FAILED
            if answer.status < 500:
                result.latency_s = anyio.current_time() - sent_s
                result.verdict = outliers.Verdict.GOOD
                service.retrying.record_success()
        except errors.RequestNotRunError as exc:
            result.is_done = True
            if exc.http_status >= 500:
                result.verdict = outliers.Verdict.FAILED
            raise
        except errors.RequestUnknownError:
            waited_s = anyio.current_time() - sent_s
            result.verdict = _timeout_verdict(service, waited_s, timeout_s)
            raise
        finally:
            service.release(target, request, result)
        answer.target = target.id
        return answer

    async def _send(
        self,
        service: services.Service,
        target: targets.Target,
        request: requests.Request,
        timeout_s: float,
    ) -> requests.Answer:
        with self._tracer.span(
            "target", traceparent=request.traceparent, target=target.id
        ) as traceparent:
            sent = dataclasses.replace(request, traceparent=traceparent)
            with (
                anyio.CancelScope() as scope,
                service.cancel_when_stalled(target, request, scope),
            ):
                return await target.link.send(sent, timeout_s=timeout_s)
        raise errors.RequestUnknownError(
            reason="the target stopped answering", status=502
        )


def _is_safe_to_retry(
    request: requests.Request, exc: errors.RequestError
) -> bool:
    if isinstance(exc, errors.RequestNotRunError):
        return exc.http_status >= 500
    return request.request_class == requests.RequestClass.REPEATABLE


def _timeout_verdict(
    service: services.Service, waited_s: float, timeout_s: float
) -> outliers.Verdict:
    """Return the verdict on a target that did not answer an attempt.

    An attempt that used its whole timeout counts as a failure of the
    target only if the timeout was long compared with the service's p99;
    otherwise the deadline may have been too short for the request.
    """
    if waited_s < FULL_TIMEOUT_SHARE * timeout_s:
        return outliers.Verdict.FAILED
    if waited_s > FAILURE_P99_FACTOR * service.times.p99_s:
        return outliers.Verdict.FAILED
    return outliers.Verdict.INCONCLUSIVE
