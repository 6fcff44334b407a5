"""``make bench``: measure look-ups/s, requests/s, added latency, decision time and peak memory."""

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from briarspur.messages import Begin, Dispatch, Request  # noqa: E402
from standins.ports import free_port  # noqa: E402
from tests.coredriver import make_core  # noqa: E402

HOST = "127.0.0.1"
ROUNDS = 3
GOAL_REQUESTS_PER_S = 1_500.0
DECISIONS = 50_000
SLOW_READ_BYTES_PER_S = 40 * 1_048_576
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports of the processes of a benchmark."""

    platform: int
    backend: int
    caller: int
    forward: int
    peer: int


def loop_time() -> float:
    """Return the time in seconds of a fixed loop, which shows the present speed of the core."""
    started = time.perf_counter()
    total = 0
    for number in range(3_000_000):
        total += number
    return time.perf_counter() - started


def free_ports() -> Ports:
    """Return free ports; other processes may take them at any time."""
    return Ports(*(free_port(HOST) for _ in range(5)))


@contextmanager
def process(*command: str, kill_on_exit: bool = False) -> Iterator[subprocess.Popen[str]]:
    """Run a Python module as a child process, and stop it on exit.

    Parameters
    ----------
    kill_on_exit : bool
        Kill the process without waiting for a graceful stop.
    """
    child = subprocess.Popen(
        [sys.executable, "-m", *command],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        yield child
    finally:
        if kill_on_exit:
            child.kill()
        child.terminate()
        try:
            child.wait(20)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()


def load(port: int, *arguments: str) -> dict[str, Any]:
    """Run the load generator as a process; return its result."""
    completed = subprocess.run(
        [sys.executable, "-m", "tools.benchload", "--port", str(port), *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    result: dict[str, Any] = json.loads(completed.stdout)
    return result


def wait_for_port(port: int) -> None:
    """Wait until a process listens on a port."""
    for _ in range(200):
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) == 0:
                return
        time.sleep(0.05)
    raise SystemExit(f"nothing listens on port {port}")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def measure_lookups(entry: int, ports: Ports) -> None:
    """Print the look-ups per second with 4 M blocks loaded."""
    for _ in range(ROUNDS):
        before = cpu_seconds(entry)
        result = load(ports.caller, "--lookups", "--seconds", "4", "--connections", "16")
        share = (cpu_seconds(entry) - before) / result["seconds"]
        rate = result["answers"] / result["seconds"]
        print(
            f"look-ups, 4 M blocks: {rate:,.0f}/s, p50 {result['p50']:.2f} ms, "
            f"p99 {result['p99']:.2f} ms, failed {result['failed']}; entry {share:.0%} of a core, "
            f"load {result['processor_s'] / result['seconds']:.0%}  (goal 8,000/s)"
        )


def measure_requests(entry: int, ports: Ports) -> None:
    """Print the proxied requests per second, and the latency added at half that rate."""
    load(ports.caller, "--seconds", "3")
    before = cpu_seconds(entry)
    result = load(ports.caller, "--seconds", "5")
    share = (cpu_seconds(entry) - before) / result["seconds"]
    rate = result["answers"] / result["seconds"]
    print(
        f"requests carried: {rate:,.0f}/s, failed {result['failed']}, entry {share:.0%} of a core"
        "  (goal 1,500/s)"
    )
    for request_rate in (GOAL_REQUESTS_PER_S / 2, rate / 2):
        measure_added_latency(ports, request_rate)


def measure_added_latency(ports: Ports, rate: float) -> None:
    """Print the latency that the entry adds to direct calls of the backend server, at one rate."""
    for _ in range(ROUNDS):
        direct = load(ports.backend, "--rate", str(rate), "--seconds", "4")
        proxied = load(ports.caller, "--rate", str(rate), "--seconds", "4")
        print(
            f"at {rate:,.0f}/s: direct p50 {direct['p50']:.2f} p99 {direct['p99']:.2f} ms, "
            f"carried p50 {proxied['p50']:.2f} p99 {proxied['p99']:.2f} ms, "
            f"added p50 {proxied['p50'] - direct['p50']:.2f} p99 "
            f"{proxied['p99'] - direct['p99']:.2f} ms, failed {proxied['failed']}"
            f"  (goal 1 and 5 ms at {GOAL_REQUESTS_PER_S / 2:,.0f}/s)"
        )


def measure_decisions() -> None:
    """Print the time that the core needs for a request: arrival, start and end of the response."""
    core = make_core("entry-1", random.Random(1))
    requests = [
        Request(f"r-{n}", "GET", "/times/today", None, b"d" * 32, n, 1e9) for n in range(DECISIONS)
    ]
    unserved = 0
    started = time.perf_counter()
    for number, request in enumerate(requests):
        now = number * 0.001
        action = core.request_arrived(request, now, 1e9)[0]
        if not isinstance(action, Dispatch):
            unserved += 1
            continue
        begin = core.answer_began(action.attempt_id, 200, now)
        assert isinstance(begin[0], Begin)
        core.answer_ended(action.attempt_id, None, 200, now + 0.0005)
    request_us = (time.perf_counter() - started) / DECISIONS * 1e6
    print(f"decision core: {request_us:.1f} µs a request, {unserved} not dispatched  (goal 40 µs)")


def measure_transfer(entry: int, ports: Ports) -> None:
    """Print the peak memory, above idle, during a 256 MB transfer to a slow reader."""
    idle = resident_bytes(entry)
    peak, received, started = idle, 0, time.perf_counter()
    with socket.create_connection((HOST, ports.caller)) as caller:
        caller.sendall(b"GET /times/large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        while data := caller.recv(1_048_576):
            received += len(data)
            peak = max(peak, resident_bytes(entry))
            ahead_s = received / SLOW_READ_BYTES_PER_S - (time.perf_counter() - started)
            time.sleep(max(0.0, ahead_s))
    print(
        f"256 MB to a reader of 40 MB/s: {received:,} bytes in {time.perf_counter() - started:.1f} "
        f"s, entry {idle / 1e6:.1f} MB idle, {(peak - idle) / 1e6:.1f} MB above it at the peak"
        "  (goal 20 MB)"
    )


def main() -> int:
    """Run every benchmark."""
    print(
        f"{os.cpu_count()} cores, load average {os.getloadavg()[0]:.1f}, "
        f"a plain loop of 3 million steps takes {loop_time():.2f} s"
    )
    measure_decisions()
    ports = free_ports()
    settings = {
        "platform": {"host": HOST, "port": ports.platform},
        "entry_id": "entry-1",
        "zone": "north-a",
        "host": HOST,
        "caller_port": ports.caller,
        "forward_port": ports.forward,
        "peer_port": ports.peer,
        "probe_interval_s": 0.2,
        "log_level": "WARNING",
    }
    with ExitStack() as stack:
        file = stack.enter_context(tempfile.NamedTemporaryFile("w", suffix=".json"))
        json.dump(settings, file)
        file.flush()
        stack.enter_context(process("standins.objectapi", "--port", str(ports.platform)))
        stack.enter_context(process("tools.benchparts", "backend", "--port", str(ports.backend)))
        wait_for_port(ports.platform)
        wait_for_port(ports.backend)
        entry = stack.enter_context(
            process(
                "tools.benchparts",
                "entry",
                "--port",
                str(ports.caller),
                "--backend-port",
                str(ports.backend),
                "--settings",
                file.name,
            )
        )
        assert entry.stdout is not None
        if entry.stdout.readline().strip() != "ready":
            raise SystemExit("the entry did not start")
        measure_lookups(entry.pid, ports)
        measure_requests(entry.pid, ports)
        measure_transfer(entry.pid, ports)
    return 0


if __name__ == "__main__":
    sys.exit(main())
