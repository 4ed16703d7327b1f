"""
Creates TLS contexts for servers and clients.

A server's certificate is reloaded when its files change, so that it can be renewed
without a restart: existing connections continue, and new ones get the new certificate.
If the new files are invalid, an error is logged and the old certificate stays in use.

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


class CertificateFiles(typing.NamedTuple):
    """A PEM certificate chain and its private key."""

    certificate: str
    private_key: str


def client_context(authority_file: str) -> ssl.SSLContext:
    """Return a context that trusts one CA file, or raise ``OperatorError``."""
    try:
        context = ssl.create_default_context(cafile=authority_file)
    except OSError as error:
        reason = error.strerror or str(error)
        raise errors.OperatorError(f"{authority_file}: {reason}") from error
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def server_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return a server's context, or raise ``SettingsError`` for invalid files."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: CertificateFiles) -> None:
    try:
        context.load_cert_chain(files.certificate, files.private_key)
    except OSError as error:
        reason = error.strerror or str(error)
        file_names = f"{files.certificate}, {files.private_key}"
        raise errors.SettingsError(f"callers.tls: {file_names}: {reason}") from error


class CertificateReloader:
    """Reloads a server's certificate when its files change."""

    def __init__(
        self, context: ssl.SSLContext, files: CertificateFiles, *, interval_s: float
    ):
        self._context = context
        self._files = files
        self._interval_s = interval_s
        self._loaded_state = _file_state(files)

    async def run(self) -> None:
        """Check the files every ``interval_s`` seconds until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Reload the files if they changed; return whether they were reloaded."""
        current_state = _file_state(self._files)
        if current_state is None or current_state == self._loaded_state:
            return False
        try:
            # A key that doesn't match its certificate would corrupt the context in
            # use, so the files are loaded into a new context first.
            server_context(self._files)
            _load(self._context, self._files)
        except errors.SettingsError as error:
            log.error("certificate not reloaded", extra=logs.fields(error=error))
            return False
        self._loaded_state = current_state
        log.info("certificate reloaded", extra=logs.fields(file=self._files[0]))
        return True


def _file_state(files: CertificateFiles) -> tuple | None:
    try:
        file_stats = [os.stat(name) for name in files]
    except OSError:
        return None
    return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in file_stats)
