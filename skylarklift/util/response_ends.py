"""Let each response of an ASGI app end, even if the app is cancelled while it ends it.

The server tells the app of the end of a connection that it is about to close.  Quart-Trio then
cancels the task that sends, which is the one that closes the connection, and leaves it open.
"""

from typing import Any

import trio
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, Scope
from quart_trio import QuartTrio

BODY_MESSAGE = "http.response.body"


class ResponseEnds:
    """An ASGI app around another one that sends the last message of each response whole."""

    def __init__(self, app: QuartTrio):
        self._app = app

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve one connection or request of the server."""

        async def send_message(message: dict[str, Any]) -> None:
            with trio.CancelScope(shield=_ends_response(message)):
                await send(message)

        await self._app(scope, receive, send_message)


def _ends_response(message: dict[str, Any]) -> bool:
    """Return whether a message is the last one of a response."""
    return message["type"] == BODY_MESSAGE and not message.get("more_body", False)
