"""Idle channels to the store go silent for good, and then the configuration changes."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    Answer,
    BackendServer,
    CannotRunError,
    Deployment,
    GatewayPorts,
    exchange,
    main,
)
from silentproxy import SilentProxy

ZONES = {"a-1": "a", "a-2": "a", "b-1": "b"}
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.5
"""Bounds of the site iroise-quai."""
MIN_IDLE_S = 0.9
"""Time without a byte from which a channel goes silent."""
MAX_WAIT_S = 20.0
SENT_UNTIL_S = 6.0
SEND_INTERVAL_S = 0.1
WATCH = b"GET /objects/config?watch="
OLD_SERVICE, NEW_SERVICE = "ledger-old", "ledger-new"


def _resources(service: str) -> list[dict[str, Any]]:
    route = {
        "host": "quay.example",
        "pathPrefix": "/book/",
        "kind": "non_idempotent",
        "timeoutMs": 2500,
        "latencyGoalMs": 400,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }
    services = [
        {"entryKind": "services", "metadata": {"name": name}, "spec": {"maxConns": 360}}
        for name in (OLD_SERVICE, NEW_SERVICE)
    ]
    return [{"entryKind": "routes", "metadata": {"name": "book"}, "spec": route}, *services]


async def _book(gateway: GatewayPorts, request_id: str) -> Answer:
    headers = {"Host": "quay.example", "X-Request-Id": request_id, "X-Deadline-Ms": "2500"}
    return await exchange(gateway.host, gateway.caller, "POST", "/book/1", headers, b"seat")


async def _wait_for_idle_watch(proxies: list[SilentProxy]) -> None:
    """Wait until the watches of the configuration have been waiting for a while."""
    until = time.monotonic() + MAX_WAIT_S
    while time.monotonic() < until:
        watches = [c for p in proxies for c in p.channels if c.latest_request.startswith(WATCH)]
        if watches and all(MIN_IDLE_S <= watch.idle_s <= MIN_IDLE_S + 0.3 for watch in watches):
            return
        await asyncio.sleep(0.01)
    raise CannotRunError("no watch of the configuration waits")


async def run(deployment: Deployment, with_trouble: bool) -> list[str]:
    """Silence idle channels, move a route and check which service runs its requests."""
    proxies = []
    for zone in ZONES:
        proxy = SilentProxy(deployment.free_port(), deployment.store_port)
        await proxy.start()
        proxies.append(proxy)
        deployment.add_gateway(zone, proxy.port)
    deployment.start_store()
    await deployment.wait_for_store()
    await deployment.write_configuration(1, _resources(OLD_SERVICE))
    old = [BackendServer(deployment, f"old-{z}", OLD_SERVICE, z) for z in ZONES]
    new = [BackendServer(deployment, f"new-{z}", NEW_SERVICE, z) for z in ZONES]
    for server in (*old, *new):
        await server.start()
    bounds = {"bounds.configApplyMs": 2500, "bounds.drainTimeoutMs": 2500}
    for gateway in deployment.gateways:
        deployment.start_gateway(gateway, bounds)
    for gateway in deployment.gateways:
        await deployment.wait_until_ready(gateway)
    await asyncio.sleep(6.0)
    await _wait_for_idle_watch(proxies)
    silent_at = time.monotonic()
    if with_trouble:
        for proxy, gateway in zip(proxies, deployment.gateways, strict=True):
            for channel in proxy.silence(MIN_IDLE_S):
                deployment.note(
                    f"silent: a channel of {gateway.name} to the store, idle for "
                    f"{channel.idle_s:.2f} s, latest {channel.latest_request.decode()}"
                )
    await deployment.write_configuration(2, _resources(NEW_SERVICE))
    acknowledged_at = time.monotonic()
    in_force_at = max(silent_at + STABLE_WINDOW_S, acknowledged_at + CONFIG_APPLY_S)
    deployment.note(f"all machines in touch, and 2 in force, in {in_force_at - silent_at:.2f} s")
    tasks = []
    number = 0
    while time.monotonic() < silent_at + SENT_UNTIL_S:
        for gateway in deployment.gateways:
            number += 1
            tasks.append(asyncio.ensure_future(_book(gateway, f"{gateway.name}-{number}")))
        await asyncio.sleep(SEND_INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    runs_of_old = {request_id for server in old for request_id, _ in server.runs}
    broken = []
    for answer in answers:
        by = OLD_SERVICE if answer.request_id in runs_of_old else NEW_SERVICE
        after = answer.sent_at - silent_at
        deployment.note(f"{answer.request_id} sent after {after:.2f} s: {answer.status} by {by}")
        if answer.sent_at > in_force_at and by == OLD_SERVICE:
            broken.append(
                f"CONFIG {answer.request_id} sent {answer.sent_at - acknowledged_at:.2f} s after "
                f"the acknowledgement was run by {by}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, ZONES, run))
