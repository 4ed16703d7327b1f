"""
Adds the operators' routes and turns their errors into answers.

A handler returns a JSON value, an ``Answer`` with a status of its own, or a
whole response.
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
    """One route; the handler's doc comment describes it in the API document."""

    method: str
    path: str
    handler: abc.Callable


def add_routes(
    application: blacksheep.Application, routes: typing.Iterable[Route]
) -> None:
    """Add routes to an application."""
    for route in routes:
        handler = _answered(route.handler)
        httpserver.add_route(application, route.method, route.path, handler)


def add_fallback(application: blacksheep.Application) -> None:
    """Answer requests for paths that don't exist, in the form of all errors."""

    async def answer_unknown(request: blacksheep.Request) -> blacksheep.Response:
        unknown = errors.NotFoundError("there is no such path or method")
        return answers.error_response(unknown, f"adm-{uuid.uuid4().hex}")

    application.router.fallback = answer_unknown


def _answered(handler: abc.Callable) -> abc.Callable:
    @functools.wraps(handler)
    async def answer(*args: typing.Any, **kwargs: typing.Any):
        request_id = f"adm-{uuid.uuid4().hex}"
        try:
            result = await handler(*args, **kwargs)
        except errors.PlatformRefusedError as error:
            refused = errors.PlatformUnavailableError(
                f"the log refused: {error}", retry_after_s=error.retry_after_s or 1.0
            )
            return answers.error_response(refused, request_id)
        except errors.RequestError as error:
            return answers.error_response(error, request_id)
        except Exception:
            fields = logs.fields(request=request_id)
            log.exception("administration request failed", extra=fields)
            unexpected = errors.AttemptFailedError("internal error")
            return answers.error_response(unexpected, request_id)
        return _response(result)

    return answer


def _response(result: typing.Any) -> blacksheep.Response:
    if isinstance(result, blacksheep.Response):
        return result
    if isinstance(result, Answer):
        return answers.json_response(result.body, result.status)
    return answers.json_response(result)


async def read_json(request: blacksheep.Request, body_type: typing.Any) -> typing.Any:
    """Return a request's checked body, or raise ``InvalidRequestError``."""
    body = await handling.read_limited(request, MAX_BODY_BYTES)
    try:
        return msgspec.json.decode(body or b"{}", type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidRequestError(f"malformed body: {error}") from error


def read_number(
    request: blacksheep.Request, name: str, default: float | None
) -> float | None:
    """Return a number from the query, or raise ``InvalidRequestError``."""
    texts = request.query.get(name)
    if not texts:
        return default
    try:
        number = float(texts[0])
    except ValueError as error:
        raise errors.InvalidRequestError(f"{name} must be a number") from error
    if not 0 <= number < 1e12:
        raise errors.InvalidRequestError(f"{name} is out of range")
    return number
