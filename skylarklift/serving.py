"""Serve a Quart app with hypercorn until a stop function returns."""

from collections.abc import Awaitable, Callable

from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

from skylarklift.generated import Address, TlsSettings

LISTEN_BACKLOG = 1024


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
    await serve(app, config, shutdown_trigger=stop, mode="asgi")
