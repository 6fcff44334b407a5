"""Gateways are stopped in turn with SIGTERM while clients upload over slow lines."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Answer, BackendServer, Deployment, GatewayPorts, main, read_answer

ZONES = {"a-1": "a", "a-2": "a"}
GATEWAYS = 10
STOPPED = 5
"""Half of the machines, one at a time; the site has an entry for all of them."""
CLIENTS_PER_STOPPED, CLIENTS_PER_OTHER = 32, 4
SERVERS = 12
WORK_S = 0.12
BODY_BYTES = 200_000
UPLOAD_S = (1.5, 3.0)
"""Time that an upload takes: 200 kB over a line of 0.5 to 1.1 Mbit/s."""
PIECE_S = 0.05
TIME_LIMIT_S = 4.0
GRACE_S = 6
BEFORE_S = 5.0
MAX_EXIT_S = 7.0


class Client:
    """Uploads to one gateway again and again until it no longer accepts channels."""

    def __init__(self, deployment: Deployment, gateway: GatewayPorts, number: int) -> None:
        self._deployment = deployment
        self._gateway = gateway
        self._number = number
        self._rng = random.Random(f"{gateway.name}/{number}")
        self.answers: list[Answer] = []

    async def run(self) -> None:
        """Upload until a channel is refused."""
        await asyncio.sleep(self._rng.uniform(0.0, UPLOAD_S[1]))
        while True:
            try:
                streams = await asyncio.open_connection(self._gateway.host, self._gateway.caller)
            except OSError:
                return
            await self._upload(*streams)

    async def _upload(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = f"{self._gateway.name}-{self._number}-{len(self.answers)}"
        answer = Answer(request_id, time.monotonic())
        self.answers.append(answer)
        seconds = self._rng.uniform(*UPLOAD_S)
        pieces = round(seconds / PIECE_S)
        head = (
            f"POST /upload/{self._number} HTTP/1.1\r\nHost: market.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {TIME_LIMIT_S * 1000:.0f}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                writer.write(head.encode())
                for piece in range(pieces):
                    start, end = (BODY_BYTES * n // pieces for n in (piece, piece + 1))
                    writer.write(b"u" * (end - start))
                    await writer.drain()
                    await asyncio.sleep(PIECE_S)
                answer.sent_at = time.monotonic()
                await read_answer(reader, answer)
        except (OSError, TimeoutError, EOFError, ValueError, IndexError) as error:
            answer.error = type(error).__name__
        answer.ended_at = time.monotonic()
        writer.close()


async def run(deployment: Deployment, with_trouble: bool) -> list[str]:
    """Stop the gateways in turn and check that each upload that ran is answered."""
    for number in range(GATEWAYS):
        deployment.add_gateway(list(ZONES)[number % len(ZONES)])
    deployment.start_store()
    await deployment.wait_for_store()
    route = {
        "host": "market.example",
        "pathPrefix": "/upload/",
        "kind": "upload",
        "timeoutMs": 4000,
        "latencyGoalMs": 600,
        "priority": 1,
        "service": "intake",
        "attempts": 2,
    }
    await deployment.write_configuration(
        1,
        [
            {"entryKind": "routes", "metadata": {"name": "upload"}, "spec": route},
            {"entryKind": "services", "metadata": {"name": "intake"}, "spec": {"maxConns": 360}},
        ],
    )
    servers = [
        BackendServer(deployment, f"i-{n}", "intake", list(ZONES)[n % len(ZONES)], WORK_S)
        for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    for gateway in deployment.gateways:
        deployment.start_gateway(gateway, {"bounds.graceS": GRACE_S})
    for gateway in deployment.gateways:
        await deployment.wait_until_ready(gateway)
    stopped = deployment.gateways[:STOPPED]
    clients = [
        Client(deployment, gateway, number)
        for gateway in deployment.gateways
        for number in range(CLIENTS_PER_STOPPED if gateway in stopped else CLIENTS_PER_OTHER)
    ]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(BEFORE_S)
    stopped_at: dict[str, float] = {}
    for gateway in stopped:
        stopped_at[gateway.name] = time.monotonic()
        if with_trouble:
            deployment.signal(gateway.name, signal.SIGTERM)
            code = await deployment.wait_for_exit(gateway.name, MAX_EXIT_S)
            took = time.monotonic() - stopped_at[gateway.name]
            deployment.note(f"{gateway.name} ended after {took:.2f} s with code {code}")
        else:
            await asyncio.sleep(GRACE_S / 2)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    run_at = {request_id: at for server in servers for request_id, at in server.runs}
    broken = []
    answers = [answer for client in clients for answer in client.answers if answer.ended_at]
    for answer in answers:
        name = answer.request_id.partition("-")[0]
        if name not in stopped_at:
            continue
        sent = answer.sent_at - stopped_at[name]
        deployment.note(f"{answer.request_id} sent at {sent:.2f} s: {answer.status} {answer.error}")
        is_late = answer.error == "TimeoutError"
        if answer.request_id in run_at and not answer.is_complete and not is_late:
            run_after = run_at[answer.request_id] - stopped_at[name]
            broken.append(
                f"LOST {answer.request_id}: run {run_after:.2f} s after the SIGTERM, its channel "
                f"ended after {answer.ended_at - stopped_at[name]:.2f} s"
            )
    deployment.note(f"{len(answers)} uploads, {len(broken)} lost")
    return broken


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, ZONES, run))
