"""HTTP front end for callers."""

import typing
import uuid

import anyio
from starlette import applications
from starlette import requests as http_requests
from starlette import responses
from starlette import routing

from wisteriawood.config import configuration
from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.links import body_budgets
from wisteriawood.links import targets

OUTCOME_HEADER = "x-outcome"
CLASS_HEADER = "x-request-class"
KEY_HEADER = "idempotency-key"
URGENT_HEADER = "x-urgent"
CALLER_HEADER = "x-caller-team"
DEFAULT_DEADLINE_S = 5.0
MAX_BODY_BYTES = 4 * 1024 * 1024
# All bodies at a time.
MAX_HELD_BYTES = 16 * MAX_BODY_BYTES
MAX_KEY_CHARS = 200
METHODS = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"]
CONTROL_HEADERS = frozenset(
    {
        CALLER_HEADER,
        CLASS_HEADER,
        URGENT_HEADER,
        "traceparent",
        targets.DEADLINE_HEADER,
        targets.REQUEST_ID_HEADER,
    }
)

Serve = typing.Callable[[requests.Request], typing.Awaitable[requests.Answer]]
FindService = typing.Callable[[str, str], configuration.Service | None]
_DEFAULT_SERVICE = configuration.Service(
    deadline_ms=int(DEFAULT_DEADLINE_S * 1000)
)


async def _read_body(
    incoming: http_requests.Request, held: body_budgets.HeldBody
) -> bytes:
    """Return the body of a request, which the budget holds meanwhile."""
    announced = incoming.headers.get("content-length", "")
    if announced.isdecimal():
        _check_size(int(announced))
    with held.scope:
        async for piece in incoming.stream():
            _check_size(len(held.data) + len(piece))
            held.add(piece)
        held.complete()
    if held.is_refused:
        raise body_budgets.exhausted_error()
    return bytes(held.data)


def _check_size(size_bytes: int) -> None:
    if size_bytes > MAX_BODY_BYTES:
        raise errors.BodyRefusedError(
            reason=f"the body is over {MAX_BODY_BYTES} bytes", status=413
        )


def _read_deadline_s(
    incoming: http_requests.Request, service: configuration.Service
) -> float:
    text = incoming.headers.get(targets.DEADLINE_HEADER)
    if text is None:
        return service.deadline_s
    if not text.isascii() or not text.isdigit() or not 0 < len(text) < 9:
        raise errors.RequestNotRunError(
            reason=f"{targets.DEADLINE_HEADER} takes whole milliseconds "
            "above 0",
            status=400,
        )
    return min(int(text) / 1000.0, requests.MAX_REQUEST_S)


def _read_class(
    incoming: http_requests.Request, service: configuration.Service
) -> tuple[requests.RequestClass, str]:
    key = incoming.headers.get(KEY_HEADER, "")
    default = requests.RequestClass.RUN_ONCE if key else service.request_class
    text = incoming.headers.get(CLASS_HEADER, default)
    if text not in list(requests.RequestClass):
        raise errors.RequestNotRunError(
            reason=f"{CLASS_HEADER} takes repeatable or run-once", status=400
        )
    if len(key) > MAX_KEY_CHARS:
        raise errors.RequestNotRunError(
            reason=f"{KEY_HEADER} is over {MAX_KEY_CHARS} characters",
            status=400,
        )
    if text == requests.RequestClass.RUN_ONCE and not key:
        raise errors.RequestNotRunError(
            reason=f"a run-once request needs {KEY_HEADER}", status=400
        )
    return requests.RequestClass(text), key


def _read_path(incoming: http_requests.Request) -> str:
    # The path is forwarded without decoding it, since decoding an escaped
    # slash would change its meaning.
    raw = incoming.scope["raw_path"].split(b"?")[0].decode("ascii")
    path = "/" + "".join(raw.split("/", 3)[3:])
    query = incoming.scope["query_string"].decode("ascii")
    return f"{path}?{query}" if query else path


def _is_urgent(
    incoming: http_requests.Request, service: configuration.Service
) -> bool:
    text = incoming.headers.get(URGENT_HEADER)
    return service.urgent if text is None else text == "1"


async def _to_request(
    incoming: http_requests.Request,
    request_id: str,
    service: configuration.Service,
    held: body_budgets.HeldBody,
) -> requests.Request:
    request_class, key = _read_class(incoming, service)
    deadline_s = anyio.current_time() + _read_deadline_s(incoming, service)
    path = _read_path(incoming)
    headers = [
        (name, value)
        for name, value in incoming.headers.items()
        if name not in targets.HOP_BY_HOP_HEADERS
        and name not in CONTROL_HEADERS
    ]
    return requests.Request(
        id=request_id,
        team=incoming.path_params["team"],
        service=incoming.path_params["service"],
        caller=incoming.headers.get(CALLER_HEADER, ""),
        method=incoming.method,
        path=path,
        headers=headers,
        body=await _read_body(incoming, held),
        request_class=request_class,
        key=key,
        urgent=_is_urgent(incoming, service),
        deadline_s=deadline_s,
        traceparent=incoming.headers.get("traceparent", ""),
    )


def _bad_path_error() -> errors.RequestNotRunError:
    return errors.RequestNotRunError(
        reason="write the path and the query in percent-encoded ASCII",
        status=400,
    )


def error_answer(request_id: str, exc: errors.RequestError) -> requests.Answer:
    """Return the answer that reports an error to the caller.

    Args:
        request_id: Id of the request.
        exc: The error.
    """
    if isinstance(exc, errors.RequestNotRunError):
        return requests.Answer(
            request_id=request_id,
            status=exc.http_status,
            outcome=requests.Outcome.NOT_RUN,
            reason=exc.reason,
            retry_after_s=exc.retry_after_s if exc.http_status >= 429 else 0,
        )
    return requests.Answer(
        request_id=request_id,
        status=exc.http_status,
        outcome=requests.Outcome.UNKNOWN,
        reason=str(exc),
    )


def _to_response(answer: requests.Answer) -> responses.Response:
    if answer.reason:
        response = responses.JSONResponse(
            {
                "error": answer.reason,
                "outcome": answer.outcome,
                "request_id": answer.request_id,
            },
            status_code=answer.status,
        )
    else:
        response = responses.Response(
            content=answer.body, status_code=answer.status
        )
        for name, value in answer.headers:
            response.headers.append(name, value)
    if answer.retry_after_s:
        response.headers["retry-after"] = str(
            max(1, round(answer.retry_after_s))
        )
    response.headers[OUTCOME_HEADER] = answer.outcome
    response.headers[targets.REQUEST_ID_HEADER] = answer.request_id
    return response


def make_app(
    *,
    serve: Serve,
    find_service: FindService,
    budget: body_budgets.BodyBudget | None = None,
) -> applications.Starlette:
    """Return the application that serves callers.

    Args:
        budget: Account of the bytes of all bodies; None for one of
            MAX_HELD_BYTES.
        serve: Serves one request and returns its answer.
        find_service: Returns the configuration of the service of a team;
            None to use the defaults.
    """
    budget = budget or body_budgets.BodyBudget(capacity_bytes=MAX_HELD_BYTES)

    async def _handle(incoming: http_requests.Request) -> responses.Response:
        with budget.open() as held:
            return await _answer(incoming, held)

    async def _answer(
        incoming: http_requests.Request, held: body_budgets.HeldBody
    ) -> responses.Response:
        request_id = uuid.uuid4().hex
        try:
            names = (
                incoming.path_params["team"],
                incoming.path_params["service"],
            )
            service = find_service(*names) or _DEFAULT_SERVICE
            request = await _to_request(incoming, request_id, service, held)
        except UnicodeDecodeError:
            return _to_response(error_answer(request_id, _bad_path_error()))
        except errors.RequestError as exc:
            return _to_response(error_answer(request_id, exc))
        try:
            answer = await serve(request)
        except errors.RequestError as exc:
            answer = error_answer(request_id, exc)
        return _to_response(answer)

    async def _refuse_route(
        _incoming: http_requests.Request, exc: Exception
    ) -> responses.Response:
        status = getattr(exc, "status_code", 400)
        error = errors.RequestNotRunError(
            reason="send a request to /TEAM/SERVICE/PATH with one of "
            f"{', '.join(METHODS)}",
            status=status,
        )
        return _to_response(error_answer(uuid.uuid4().hex, error))

    app = applications.Starlette(
        routes=[
            routing.Route(path, _handle, methods=METHODS)
            for path in ("/{team}/{service}", "/{team}/{service}/{path:path}")
        ],
        exception_handlers={404: _refuse_route, 405: _refuse_route},
    )
    app.router.redirect_slashes = False
    return app
