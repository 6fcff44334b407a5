"""Fakes of the decision core, backend servers and callers, for tests over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from expression import Ok, Result

from briarspur.backend import BackendClient
from briarspur.codes import Code
from briarspur.interfaces import FetchedOutcome
from briarspur.limitsettings import LimitSettings
from briarspur.messages import (
    Abort,
    Action,
    Begin,
    Cancel,
    ClaimResult,
    Dispatch,
    Failure,
    Priority,
    Refuse,
    Request,
    SettledClaim,
    TargetAddress,
)
from briarspur.metrics import NullMetrics
from briarspur.refusal import Answer, Refusal
from briarspur.requestdriver import DriverSettings, RequestDriver
from briarspur.server import EntryServer, ServerSettings
from tests.loop import the_reactor

__all__ = ["DirectCore", "FakeKeyStore", "HttpEntry", "RawBackend", "RawCaller", "ReceivedAnswer"]

HOST = "127.0.0.1"


@dataclass
class DirectCore:
    """A core that dispatches each request to one target and relays its answer.

    Attributes
    ----------
    resume : bool
        Request the rest of a truncated body.
    continues_without_caller : bool
        Do not cancel a request when its caller disconnects.
    relays : bool
        Relay answers; if false, drop them and refuse the request.
    events : list
        The reported events, without new requests.
    """

    target: TargetAddress
    keep_answer: bool = False
    resume: bool = False
    continues_without_caller: bool = False
    relays: bool = True
    events: list[tuple[object, ...]] = field(default_factory=list)
    requests_by_attempt: dict[int, Request] = field(default_factory=dict)
    requests: list[Request] = field(default_factory=list)
    last_attempt: int = 0

    def request_arrived(self, request: Request, now: float, wall: float) -> list[Action]:
        self.requests.append(request)
        return [self.dispatch(request, now, 0)]

    def dispatch(self, request: Request, now: float, resume_at: int) -> Action:
        self.last_attempt += 1
        self.requests_by_attempt[self.last_attempt] = request
        return Dispatch(
            request_id=request.request_id,
            attempt_id=self.last_attempt,
            target=self.target,
            service="times",
            region="north",
            priority=Priority.INTERACTIVE,
            deadline=min(request.deadline, now + 5.0),
            keep_answer=self.keep_answer,
            resume_at=resume_at,
        )

    def answer_began(self, attempt_id: int, status: int, now: float) -> list[Action]:
        self.events.append(("began", status))
        request = self.requests_by_attempt[attempt_id]
        if not self.relays:
            return [Refuse(request.request_id, Refusal(Code.CONNECTION_LOST))]
        return [Begin(request.request_id, attempt_id)]

    def answer_ended(
        self, attempt_id: int, answer: Answer | None, size: int, now: float, status: int = 200
    ) -> list[Action]:
        self.events.append(("ended", answer.body if answer else None, size))
        return []

    def attempt_failed(
        self,
        attempt_id: int,
        failure: Failure,
        now: float,
        retry_after: float | None = None,
        bytes_sent: int = 0,
        resumable: bool = False,
        crashed: bool = False,
    ) -> list[Action]:
        self.events.append(("failed", failure, retry_after, bytes_sent, resumable, crashed))
        request = self.requests_by_attempt[attempt_id]
        if resumable and self.resume:
            return [self.dispatch(request, now, bytes_sent)]
        if bytes_sent:
            return [Abort(request.request_id, Refusal(Code.ANSWER_CUT_SHORT))]
        proven = failure in (Failure.NOT_SENT, Failure.SHED)
        code = Code.OVERLOADED if proven else Code.OUTCOME_UNKNOWN
        return [Refuse(request.request_id, Refusal(code, retry_after=retry_after))]

    def caller_gone(self, request_id: str, now: float) -> list[Action]:
        self.events.append(("gone",))
        if self.continues_without_caller:
            return []
        return [
            Cancel(n) for n, r in self.requests_by_attempt.items() if r.request_id == request_id
        ]

    def claim_settled(self, request_id: str, claim: SettledClaim, now: float) -> list[Action]:
        return []

    def outcome_fetched(
        self, request_id: str, found: bool, answer: Answer | None, now: float
    ) -> list[Action]:
        return []

    def tick(self, now: float, wall: float) -> list[Action]:
        return []

    def next_wake(self, now: float) -> float | None:
        return None


class FakeKeyStore:
    """A key store without outcomes, in which each claim stays unsettled."""

    async def claim(self, key: str, body_digest: bytes) -> SettledClaim:
        return SettledClaim(ClaimResult.UNSETTLED)

    async def fetch(self, incarnation: str, key: str) -> FetchedOutcome:
        return FetchedOutcome(found=False)


Script = Callable[["Connection", bytes], Awaitable[None]]


@dataclass
class Connection:
    """One connection to a :class:`RawBackend`."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def send_answer(self, body: bytes, status: bytes = b"200 OK", headers: bytes = b"") -> None:
        length = b"Content-Length: %d\r\n" % len(body)
        self.send(b"HTTP/1.1 " + status + b"\r\n" + length + headers + b"\r\n" + body)


class RawBackend:
    """A backend server that answers with the bytes of a test's script; a context manager."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.heads: list[bytes] = []
        self.connections: list[Connection] = []
        self.ended = 0

    async def __aenter__(self) -> "RawBackend":
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for connection in self.connections:
            connection.writer.close()

    @property
    def address(self) -> TargetAddress:
        return TargetAddress("times-1", HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.append(connection)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.split(b":")[1]))
                await self.script(connection, head)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.ended += 1
            writer.close()


@dataclass
class ReceivedAnswer:
    """An answer that a caller read; ``truncated`` if the connection ended before the body did."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    truncated: bool


class RawCaller:
    """A caller on a plain socket; a context manager."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> "RawCaller":
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    async def send(self, request: bytes) -> ReceivedAnswer:
        self.writer.write(request)
        return await self.read()

    async def get(self, path: bytes, headers: bytes = b"") -> ReceivedAnswer:
        return await self.send(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n" + headers + b"\r\n")

    async def read(self) -> ReceivedAnswer:
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        pairs = [line.split(b": ", 1) for line in lines[1:] if line]
        headers = {name.lower(): value for name, value in pairs}
        length = int(headers.get(b"content-length", b"0"))
        try:
            body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return ReceivedAnswer(
                int(lines[0].split()[1]), headers, getattr(error, "partial", b""), True
            )
        return ReceivedAnswer(int(lines[0].split()[1]), headers, body, False)


class HttpEntry:
    """Server, request driver and HTTP client of an entry, for a given core; a context manager."""

    def __init__(
        self,
        core: DirectCore,
        limits: LimitSettings | None = None,
        connections: int = 350,
        client: BackendClient | None = None,
    ) -> None:
        self.codes: list[Code] = []
        self.regions: list[str] = []
        self.leaving: list[str] = []
        self.core = core
        self.limits = limits or LimitSettings()
        self.client = client or BackendClient(the_reactor())
        settings = DriverSettings(
            "entry-1", self.limits.remembered_answer_bytes, lambda target_id: connections
        )
        self.driver = RequestDriver(
            core, self.client, the_reactor(), FakeKeyStore(), self, settings
        )
        self.server = EntryServer(
            the_reactor(),
            self.driver,
            self.look_up,
            self,
            NullMetrics(),
            ServerSettings("abcd", self.limits),
        )

    async def __aenter__(self) -> "HttpEntry":
        self.caller_port, self.forward_port = self.server.listen(HOST, 0, 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.close()
        await self.client.close().asFuture(asyncio.get_running_loop())

    def look_up(self, service: str, block: int) -> Result[bytes, Refusal]:
        return Ok(b'{"service": "%b", "block": %d}' % (service.encode(), block))

    def arrived(self, request: Request) -> None:
        pass

    def answered(self, request: Request, region: str, code: Code, seconds: float) -> None:
        self.codes.append(code)
        self.regions.append(region)

    def target_leaving(self, target_id: str) -> None:
        self.leaving.append(target_id)

    def is_ready(self) -> bool:
        return True

    def status(self) -> dict[str, object]:
        return {"entry": "entry-1"}

    def service_levels(self) -> dict[str, object]:
        return {}
