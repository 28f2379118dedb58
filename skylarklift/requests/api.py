"""The HTTP API for callers: OpenAI chat completions, calls of plain services, health."""

from collections.abc import Callable

import trio
from quart import Response, g, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge, RequestTimeout

from skylarklift.clock import MS_PER_SECOND, Clock
from skylarklift.errors import BadRequest, InvariantBreach, RequestError, RunState
from skylarklift.generated import CallerSettings
from skylarklift.ids import ServiceId
from skylarklift.logger import log
from skylarklift.requests.calls import CallRunner, ServiceCall
from skylarklift.requests.chat_dependencies import ChatDependencies
from skylarklift.requests.chats import ChatSession
from skylarklift.requests.parsing import CallerRequest, parse_caller_request, parse_chat_request
from skylarklift.telemetry import Telemetry, error_body
from skylarklift.upstreams.client import REQUEST_ID_HEADER, BufferedResponse

EVENT_STREAM = "text/event-stream"
STATUS_OK = 200
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


class CallerApi:
    """Serve the HTTP API for callers and the health check of the load balancer."""

    def __init__(
        self,
        clock: Clock,
        cfg: CallerSettings,
        chat_deps: ChatDependencies,
        calls: CallRunner,
        telemetry: Telemetry,
        is_ready: Callable[[], bool],
    ):
        self._is_ready = is_ready
        self._clock = clock
        self._cfg = cfg
        self._chat_deps = chat_deps
        self._calls = calls
        self._telemetry = telemetry
        self.healthy = True
        self.in_flight = 0
        self.app = self._make_app()

    def _make_app(self) -> QuartTrio:
        """Return the app with its routes."""
        app = QuartTrio("skylarklift-callers")
        app.config["MAX_CONTENT_LENGTH"] = self._cfg.body_limit_bytes
        app.config["BODY_TIMEOUT"] = None
        app.config["RESPONSE_TIMEOUT"] = None
        app.add_url_rule("/health", view_func=self._health)
        app.add_url_rule("/v1/chat/completions", view_func=self._chat, methods=["POST"])
        rule = "/services/<service>/<path:path>"
        app.add_url_rule(rule, view_func=self._call, methods=METHODS)
        app.register_error_handler(RequestError, self._error_response)
        app.register_error_handler(InvariantBreach, self._breach_response)
        app.register_error_handler(HTTPException, self._http_error_response)
        app.register_error_handler(Exception, self._unhandled_error_response)
        return app

    async def _health(self):
        """Answer the load balancer's health check; 503 takes this router out of rotation."""
        if not self.healthy:
            return {"health": "leaving"}, 503
        if not self._is_ready():
            return {"health": "not_ready"}, 503
        return {"health": "in"}

    # Chats.

    async def _chat(self):
        """Complete a chat."""
        caller = await self._read_request()
        chat = parse_chat_request(caller, request.headers)
        self._chat_deps.telemetry.count("chats.received")
        session = ChatSession(self._chat_deps, chat)
        if not chat.streamed:
            with self._count_in_flight():
                return _to_quart_response(caller, await session.complete())
        await session.start_stream()
        if session.status() != STATUS_OK:
            return _to_quart_response(caller, await session.read_rejection())
        headers = {REQUEST_ID_HEADER: caller.request_id, "Cache-Control": "no-store"}
        body = self._counted_events(session)
        response = Response(body, STATUS_OK, headers, content_type=EVENT_STREAM)
        response.timeout = None
        return response

    async def _counted_events(self, session: ChatSession):
        """Yield the events of a session and count it as in flight until the last one."""
        events = session.events()
        with self._count_in_flight():
            try:
                async for item in events:
                    yield item
            finally:
                with trio.CancelScope(shield=True):
                    await events.aclose()

    # Calls.

    async def _call(self, service: str, path: str):
        """Forward a call to a plain service."""
        caller = await self._read_request()
        self._telemetry.count("calls.received")
        query = request.query_string.decode()
        call = ServiceCall(
            caller=caller,
            service=ServiceId(service),
            method=request.method,
            path=f"{path}?{query}" if query else path,
            content_type=request.headers.get("Content-Type", ""),
        )
        with self._count_in_flight():
            return _to_quart_response(caller, await self._calls.run(call))

    # Shared helpers.

    async def _read_request(self) -> CallerRequest:
        """Read the body, limited in size and time, and parse the headers."""
        with trio.move_on_after(self._cfg.body_timeout_ms / MS_PER_SECOND):
            body = await request.get_data()
            g.caller = parse_caller_request(request.headers, body, self._clock, self._cfg)
            return g.caller
        raise BadRequest("body_timeout", "the body did not arrive in time", status=408)

    def _count_in_flight(self) -> "_InFlightCounter":
        """Return a context manager that counts a request as in flight."""
        return _InFlightCounter(self)

    async def _error_response(self, exc: RequestError):
        """Return the JSON error response for a refused or failed request."""
        self._telemetry.count(f"refused.{exc.code}")
        caller = g.get("caller")
        log.info(
            "request_refused",
            code=exc.code,
            run=exc.run.value,
            text=str(exc),
            request=caller.request_id if caller else "",
            workspace=caller.workspace if caller else "",
        )
        headers = {}
        if exc.retry_after_ms is not None:
            headers["Retry-After"] = str(max(1, -(-exc.retry_after_ms // MS_PER_SECOND)))
        return error_body(exc), exc.status, headers

    async def _breach_response(self, exc: InvariantBreach):
        """Return the error response for a request whose handling broke an invariant."""
        error = RequestError("an internal check failed")
        error.code = "invariant_breach"
        return await self._error_response(error)

    async def _http_error_response(self, exc: HTTPException):
        """Return the error response for a request that the framework rejected before it ran."""
        codes = {
            RequestEntityTooLarge: "body_too_large",
            RequestTimeout: "body_timeout",
        }
        code = codes.get(type(exc), f"http_{exc.code}")
        return await self._error_response(BadRequest(code, exc.description or "", status=exc.code))

    async def _unhandled_error_response(self, exc: Exception):
        """Return the error response for an unhandled exception; the request may have run."""
        log.error("unhandled_error", exc_info=(type(exc), exc, exc.__traceback__))
        error = RequestError("an unexpected error")
        error.code = "internal"
        error.run = RunState.UNKNOWN
        return await self._error_response(error)


class _InFlightCounter:
    """Context manager that counts one request as in flight."""

    def __init__(self, api: CallerApi):
        self._api = api

    def __enter__(self):
        self._api.in_flight += 1

    def __exit__(self, *_):
        self._api.in_flight -= 1


def _to_quart_response(caller: CallerRequest, response: BufferedResponse) -> Response:
    """Return the Quart response for a buffered response, with the request id header."""
    headers = {REQUEST_ID_HEADER: caller.request_id}
    return Response(response.body, response.status, headers, content_type=response.content_type)
