"""
TLS contexts for servers and clients.

A server's context is loaded anew when its files change, so that certificates are
renewed without a restart: connections that exist go on, new ones are met with
the new certificate. Files that can't be used leave the old certificate in
place and are reported.

    context = client_context("authority.pem")
"""

import asyncio
import logging
import os
import ssl
import typing

from acaciaward import errors
from acaciaward.observability import logs

log = logging.getLogger(__name__)


class Files(typing.NamedTuple):
    """A PEM certificate chain and its private key."""

    certificate: str
    private_key: str


def client_context(authority_file: str) -> ssl.SSLContext:
    """Return a context that trusts one authority, or raise ``OperatorError``."""
    try:
        context = ssl.create_default_context(cafile=authority_file)
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.OperatorError(f"{authority_file}: {reason}") from error
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def server_context(files: Files) -> ssl.SSLContext:
    """Return a server's context, or raise ``SettingsError`` for bad files."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: Files) -> None:
    try:
        context.load_cert_chain(files.certificate, files.private_key)
    except OSError as error:
        reason = error.strerror or str(error)
        named = f"{files.certificate}, {files.private_key}"
        raise errors.SettingsError(f"callers.tls: {named}: {reason}") from error


class Reloader:
    """Loads a server's certificate again whenever its files have changed."""

    def __init__(self, context: ssl.SSLContext, files: Files, *, interval_s: float):
        self._context = context
        self._files = files
        self._interval_s = interval_s
        self._stamp = _stamp(files)

    async def run(self) -> None:
        """Look at the files until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Load the files if they changed; return whether that succeeded."""
        stamp = _stamp(self._files)
        if stamp is None or stamp == self._stamp:
            return False
        try:
            # A pair that doesn't belong together would spoil the context in
            # use, so it is tried on a new one first.
            server_context(self._files)
            _load(self._context, self._files)
        except errors.SettingsError as error:
            log.error("certificate not reloaded", extra=logs.fields(error=error))
            return False
        self._stamp = stamp
        log.info("certificate reloaded", extra=logs.fields(file=self._files[0]))
        return True


def _stamp(files: Files) -> tuple | None:
    try:
        states = [os.stat(name) for name in files]
    except OSError:
        return None
    return tuple((state.st_mtime_ns, state.st_size, state.st_ino) for state in states)
