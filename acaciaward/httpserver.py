"""
Serves a blacksheep application with uvicorn inside a running event loop.

uvicorn's signal handlers are disabled, so that a process can run several servers
and handle signals itself.

    server = httpserver.HttpServer(application, "127.0.0.1", 8100)
    await server.start()
    await server.stop()
"""

import asyncio
import contextlib
import functools
import ssl
import typing
from collections import abc

import blacksheep
import blacksheep.server.routing
import uvicorn

from acaciaward import httplimits
from acaciaward.identity import tls as tls_contexts

START_POLL_INTERVAL_S = 0.005
TLS_RELOAD_INTERVAL_S = 2.0
DEFAULT_LIMITS = httplimits.Limits(head_bytes=65536, head_timeout_s=30.0)
DEFAULT_MAX_CONNECTIONS_PER_ORGANISATION = 2000


def make_application() -> blacksheep.Application:
    """Return an application with its own router, not blacksheep's shared one."""
    router = blacksheep.server.routing.Router()
    return blacksheep.Application(router=router)


def add_route(
    application: blacksheep.Application,
    method: str,
    path: str,
    handler: abc.Callable,
) -> None:
    """
    Add a route whose handler may be a bound method.

    blacksheep marks handlers with an attribute, which bound methods can't have,
    so the handler is wrapped in a function of the same signature.
    """

    @functools.wraps(handler)
    async def route_handler(*args: typing.Any, **kwargs: typing.Any):
        return await handler(*args, **kwargs)

    application.router.add(method, path, route_handler)


class _ServerWithoutSignals(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer:
    """
    One HTTP or HTTPS server.

    ``tls`` has the fields of ``identity.tls.CertificateFiles``. ``max_connections``
    bounds the connections to this server and ``connection_limiter`` those of each
    organisation.
    """

    def __init__(
        self,
        application: typing.Any,
        address: str,
        port: int,
        *,
        tls: dict[str, str] | None = None,
        max_connections: int | None = None,
        limits: httplimits.Limits = DEFAULT_LIMITS,
        connection_limiter: httplimits.ConnectionLimiter | None = None,
    ):
        self._certificate_files = tls_contexts.CertificateFiles(**tls) if tls else None
        self._tls_context: ssl.SSLContext | None = None
        connection_limiter = connection_limiter or httplimits.ConnectionLimiter(
            max_per_organisation=DEFAULT_MAX_CONNECTIONS_PER_ORGANISATION
        )
        protocol = functools.partial(
            httplimits.LimitedProtocol,
            limits=limits,
            connection_limiter=connection_limiter,
        )
        config = uvicorn.Config(
            application,
            host=address,
            port=port,
            log_config=None,
            access_log=False,
            lifespan="off",
            loop="asyncio",
            http=protocol,
            ws="none",
            limit_concurrency=max_connections,
            timeout_keep_alive=30,
            server_header=False,
            proxy_headers=False,
            ssl_context_factory=self._make_tls_context if tls else None,
        )
        self._application = application
        self._port = port
        self._server = _ServerWithoutSignals(config)
        self._task: asyncio.Task | None = None
        self._reload_task: asyncio.Task | None = None

    @property
    def application(self) -> typing.Any:
        """The application that is served."""
        return self._application

    @property
    def port(self) -> int:
        """The TCP port."""
        return self._port

    def _make_tls_context(self, *args: object) -> ssl.SSLContext:
        self._tls_context = tls_contexts.server_context(self._certificate_files)
        return self._tls_context

    async def start(self) -> None:
        """Start to listen; raise ``OSError`` if the port can't be bound."""
        await self._application.start()
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError("the HTTP server ended before it was listening")
            await asyncio.sleep(START_POLL_INTERVAL_S)
        if self._certificate_files is not None:
            reloader = tls_contexts.CertificateReloader(
                self._tls_context,
                self._certificate_files,
                interval_s=TLS_RELOAD_INTERVAL_S,
            )
            self._reload_task = asyncio.create_task(reloader.run())

    async def _serve(self) -> None:
        # uvicorn raises SystemExit if it can't bind its port. Inside a task that
        # must not end the whole process.
        try:
            await self._server.serve()
        except SystemExit as error:
            raise OSError("the HTTP server could not listen") from error

    async def stop(self) -> None:
        """Stop listening, and return when running requests have finished."""
        if self._task is None:
            return
        self._server.should_exit = True
        self._stop_reloading()
        await self._task

    def _stop_reloading(self) -> None:
        if self._reload_task is not None:
            self._reload_task.cancel()

    async def kill(self) -> None:
        """Abort every connection at once, as a crash would."""
        if self._task is None:
            return
        self._stop_reloading()
        for listener in getattr(self._server, "servers", []):
            listener.close()
        for connection in list(self._server.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()
        self._server.force_exit = True
        self._server.should_exit = True
        await self._task
