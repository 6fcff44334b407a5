"""Stand-in backend servers: the ledger, the cold-start model and the response bodies."""

import asyncio
import hashlib
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from briarspur.endpoints import IPEndpointFactory
from standins.content import download_etag, download_part
from standins.targetmodel import BackendSettings, ServiceTime, TargetSettings, Warmth
from tests.reactor import run


class WarmthTest(unittest.TestCase):
    """A cold target is slow at first, and becomes cold again when idle."""

    def test_warm_up_and_cool_down(self) -> None:
        warmth = Warmth(ServiceTime(cold_factor=5.0, warm_after=10, half_warmth_s=1.0))
        self.assertEqual(warmth.factor(1.0), 5.0)
        for _ in range(30):
            warmth.factor(1.0)
        self.assertEqual(warmth.factor(1.0), 1.0)
        self.assertGreater(warmth.factor(101.0), 4.9)

    def test_service_time_depends_only_on_the_seed(self) -> None:
        warmth = Warmth(ServiceTime(cold_factor=1.0))
        first = warmth.seconds(0.0, random.Random(3))
        self.assertEqual(first, warmth.seconds(0.0, random.Random(3)))


class ContentTest(unittest.TestCase):
    """The parts of a download form the content whose digest is its ETag."""

    def test_parts_concatenate_to_the_content(self) -> None:
        path = "/charts/pack?bytes=200000"
        content = download_part(path, 0, 200_000)
        joined = download_part(path, 0, 70_001) + download_part(path, 70_001, 200_000)
        self.assertEqual(content, joined)
        self.assertEqual(download_etag(path), f'"{hashlib.sha256(content).hexdigest()}"')


class BackendTest(unittest.TestCase):
    """One target that is called without an entry."""

    def test_a_key_run_twice_is_recorded_twice(self) -> None:
        async def work(target: Any, call: Callable[..., Awaitable[Any]]) -> None:
            for _ in range(2):
                await call(b"POST", "/booking/", {b"Idempotency-Key": b"key-0001"})
            self.assertEqual(target.backend.ledger.runs_by_key, {"key-0001": ["t-1", "t-1"]})

        run(with_target(work))

    def test_a_full_target_sheds_with_request_not_run(self) -> None:
        async def work(target: Any, call: Callable[..., Awaitable[Any]]) -> None:
            answers = await asyncio.gather(*(call(b"GET", f"/times/{n}") for n in range(3)))
            shed = [headers for status, headers, _ in answers if status == 503]
            self.assertEqual(len(shed), 1)
            self.assertEqual(shed[0].getRawHeaders(b"request-not-run"), [b"true"])
            self.assertEqual((target.counts.peak_in_flight, target.counts.shed), (2, 1))

        run(with_target(work))

    def test_a_poison_request_aborts_concurrent_requests(self) -> None:
        async def work(target: Any, call: Callable[..., Awaitable[Any]]) -> None:
            ends = await asyncio.gather(
                call(b"POST", "/booking/", {b"Idempotency-Key": b"key-0001"}),
                call(b"GET", "/times/poison"),
                return_exceptions=True,
            )
            self.assertTrue(all(isinstance(end, Exception) for end in ends), ends)
            self.assertEqual((target.counts.crashes, target.counts.in_flight), (1, 0))
            self.assertEqual(target.backend.ledger.runs_by_key, {})
            while target._listening is None:
                await asyncio.sleep(0.01)

        run(with_target(work))

    def test_a_range_is_served_only_if_if_range_matches(self) -> None:
        async def work(target: Any, call: Callable[..., Awaitable[Any]]) -> None:
            path = "/charts/pack?bytes=100000"
            etag = download_etag(path).encode()
            range_header = {b"Range": b"bytes=90000-"}
            status, _, body = await call(b"GET", path, {**range_header, b"If-Range": etag})
            self.assertEqual((status, body), (206, download_part(path, 90_000, 100_000)))
            status, _, body = await call(b"GET", path, {**range_header, b"If-Range": b'"old"'})
            self.assertEqual((status, len(body)), (200, 100_000))

        run(with_target(work))


async def with_target(
    work: Callable[[Any, Callable[..., Awaitable[Any]]], Awaitable[None]],
) -> None:
    """Run ``work`` with a target that has two slots, and a function that calls the target."""
    from twisted.internet import reactor
    from twisted.web.client import Agent, HTTPConnectionPool, readBody
    from twisted.web.http_headers import Headers

    from standins.backend import Backend

    loop = asyncio.get_running_loop()
    target = TargetSettings(
        target_id="t-1", host="127.0.0.1", port=0, service="s", region="r", zone="z", slots=2
    )
    times = {"s": ServiceTime(median_ms=5.0, bytes_per_s=10_000_000)}
    backend = Backend(
        BackendSettings(control_port=0, crash_s=0.05, times_by_service=times, targets=[target])
    )
    hosted = backend.targets_by_id["t-1"]
    hosted.listen()
    pool = HTTPConnectionPool(reactor)
    agent = Agent.usingEndpointFactory(reactor, IPEndpointFactory(reactor, 5.0), pool=pool)
    port = hosted._listening.getHost().port

    async def call(method: bytes, path: str, headers: dict[bytes, bytes] | None = None) -> Any:
        url = f"http://127.0.0.1:{port}{path}".encode()
        sent = Headers({name: [value] for name, value in (headers or {}).items()})
        response: Any = await agent.request(method, url, sent).asFuture(loop)
        body = await readBody(response).asFuture(loop)
        return response.code, response.headers, body

    try:
        await work(hosted, call)
    finally:
        await pool.closeCachedConnections().asFuture(loop)
        await hosted._listening.stopListening().asFuture(loop)
