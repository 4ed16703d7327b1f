"""
Adds the operators' routes and turns exceptions of their handlers into error answers.

A handler returns a JSON value (sent with status 200), an ``Answer`` with a status
of its own, or a complete response.
"""

import functools
import logging
import typing
import uuid
from collections import abc

import blacksheep
import msgspec

from acaciaward import errors, httpserver
from acaciaward.callers import answers, handling
from acaciaward.observability import logs

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 1024 * 1024


class Answer(typing.NamedTuple):
    """A JSON body and its HTTP status."""

    body: typing.Any
    status: int = 200


class Route(typing.NamedTuple):
    """One route; its handler's doc comment describes it in the OpenAPI document."""

    method: str
    path: str
    handler: abc.Callable


def add_routes(
    application: blacksheep.Application, routes: typing.Iterable[Route]
) -> None:
    """Add routes to an application."""
    for route in routes:
        handler = _with_error_handling(route.handler)
        httpserver.add_route(application, route.method, route.path, handler)


def add_fallback(application: blacksheep.Application) -> None:
    """Answer requests for unknown paths with a JSON error like any other."""

    async def answer_unknown(request: blacksheep.Request) -> blacksheep.Response:
        not_found = errors.NotFoundError("there is no such path or method")
        return answers.error_response(not_found, f"adm-{uuid.uuid4().hex}")

    application.router.fallback = answer_unknown


def _with_error_handling(handler: abc.Callable) -> abc.Callable:
    @functools.wraps(handler)
    async def answer(*args: typing.Any, **kwargs: typing.Any):
        request_id = f"adm-{uuid.uuid4().hex}"
        try:
            result = await handler(*args, **kwargs)
        except errors.PlatformRefusedError as error:
            unavailable = errors.PlatformUnavailableError(
                f"the log refused: {error}", retry_after_s=error.retry_after_s or 1.0
            )
            return answers.error_response(unavailable, request_id)
        except errors.RequestError as error:
            return answers.error_response(error, request_id)
        except Exception:
            fields = logs.fields(request=request_id)
            log.exception("administration request failed", extra=fields)
            internal_error = errors.AttemptFailedError("internal error")
            return answers.error_response(internal_error, request_id)
        return _to_response(result)

    return answer


def _to_response(result: typing.Any) -> blacksheep.Response:
    if isinstance(result, blacksheep.Response):
        return result
    if isinstance(result, Answer):
        return answers.json_response(result.body, result.status)
    return answers.json_response(result)


async def read_json(request: blacksheep.Request, body_type: typing.Any) -> typing.Any:
    """Return a request's body as ``body_type``, or raise ``InvalidRequestError``."""
    body = await handling.read_body_up_to(request, MAX_BODY_BYTES)
    try:
        return msgspec.json.decode(body or b"{}", type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidRequestError(f"malformed body: {error}") from error


def read_number(
    request: blacksheep.Request, name: str, default: float | None
) -> float | None:
    """
    Return a number from the query string, or ``default`` if it is absent.

    Raises ``InvalidRequestError`` if it isn't a number or is out of range.
    """
    values = request.query.get(name)
    if not values:
        return default
    try:
        number = float(values[0])
    except ValueError as error:
        raise errors.InvalidRequestError(f"{name} must be a number") from error
    if not 0 <= number < 1e12:
        raise errors.InvalidRequestError(f"{name} is out of range")
    return number
