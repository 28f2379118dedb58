"""Serve a Quart app with hypercorn until a stop function returns."""

import logging
import socket
from collections.abc import Awaitable, Callable
from functools import partial

from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from skylarklift.clock import LoopClock
from skylarklift.generated import Address, TlsSettings
from skylarklift.logger import log
from skylarklift.util.failure_reports import FailureReports
from skylarklift.util.listening import LISTEN_BACKLOG, open_with_retries
from skylarklift.util.response_ends import ResponseEnds

# A port may still be in use by the process before; later it is a mistake in the settings.
PORT_WAIT_LIMIT_MS = 5000
ACCEPT_LOGGER = logging.getLogger("trio.serve_listeners")


class AcceptFailureHandler(logging.Handler):
    """Log that no connection can be accepted, which trio reports ten times a second."""

    def __init__(self):
        super().__init__()
        self._reports = FailureReports(LoopClock())

    def emit(self, record: logging.LogRecord) -> None:
        """Log a failure, unless it goes on."""
        cause = record.getMessage()
        if count := self._reports.record(cause):
            log.warning("accept_failed", cause=cause, count=count)


def make_config(
    address: Address, tls: TlsSettings, header_limit_bytes: int, graceful_timeout_s: float
) -> Config:
    """Return the hypercorn configuration for one listening address."""
    config = Config()
    config.bind = [f"{address.host}:{address.port}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = LISTEN_BACKLOG
    config.graceful_timeout = graceful_timeout_s
    config.h11_max_incomplete_size = header_limit_bytes
    config.include_server_header = False
    if tls.certificate:
        config.certfile = tls.certificate
        config.keyfile = tls.key
        config.ca_certs = tls.authority or None
    return config


async def serve_app(app: QuartTrio, config: Config, stop: Callable[[], Awaitable[None]]) -> None:
    """Serve until `stop` returns, then wait up to `graceful_timeout` for running requests."""
    await serve(ResponseEnds(app), config, shutdown_trigger=stop, mode="asgi")


async def open_address(config: Config) -> None:
    """Listen at the address of a configuration; raise `OSError` if it stays in use."""
    if not ACCEPT_LOGGER.handlers:
        ACCEPT_LOGGER.addHandler(AcceptFailureHandler())
        ACCEPT_LOGGER.propagate = False
    (address,) = config.bind
    sock = await open_with_retries(
        partial(_open_socket, address), address, LoopClock(), log.warning, PORT_WAIT_LIMIT_MS
    )
    config.bind = [f"fd://{sock.detach()}"]


async def _open_socket(address: str) -> socket.socket:
    """Return a socket that listens at HOST:PORT; raise `OSError`."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.bind((host, int(port)))
        sock.listen(LISTEN_BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock
