"""``make capacity``: measure costs at three sizes, fit a line and extrapolate to full size."""

import json
import os
import random
import socket
import sys
import time
import tracemalloc
import urllib.request
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from briarspur.blocks import BlockTable  # noqa: E402
from briarspur.core import Core  # noqa: E402
from briarspur.loadreport import LoadDocument, ServiceLoad  # noqa: E402
from briarspur.lookup import LookupTable  # noqa: E402
from briarspur.planner import Planner  # noqa: E402
from briarspur.policy import compile_policy, parse_policy  # noqa: E402
from tools import capacityfleet as fleet  # noqa: E402
from tools.bench import (  # noqa: E402  # noqa: E402
    Ports,
    cpu_seconds,
    free_ports,
    loop_time,
    process,
    resident_bytes,
    wait_for_port,
)

MEMBER_COUNTS = (25, 100, 400)
ENTRY_COUNTS = (25, 100, 400)
PROCESS_COUNTS = (12, 20, 32)
PROCESS_ZONE_COUNT = 3
MIN_PORT = 20_000
BLOCK_COUNTS = (250_000, 1_000_000, 4_000_000)
FULL_ENTRIES = 1_700
FULL_BLOCKS = 4_000_000
IDLE_S = 10.0
SETTLING_TIME_S = 12.0
"""Longer than one wait of a watch. Entries that saw no others when they started watch the store
too, and stop only when the wait ends."""
HOMES = [f"region-{n}" for n in range(fleet.REGIONS)]


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A straight line fitted to measured points.

    Attributes
    ----------
    residual : float
        Largest distance of a point from the line, as a share of the largest value.
    """

    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
    """Return the least-squares line."""
    mean_x, mean_y = sum(sizes) / len(sizes), sum(values) / len(values)
    variance_sum = sum((x - mean_x) ** 2 for x in sizes)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)) / variance_sum
    )
    base = mean_y - slope * mean_x
    worst = max(abs(base + slope * x - y) for x, y in zip(sizes, values, strict=True))
    return LinearFit(base, slope, worst / max(max(values), 1e-12))


def print_row(
    label: str, unit: str, sizes: Sequence[int], values: Sequence[float], full: int
) -> None:
    """Print one table row: the points, the line and its value at full size."""
    line = fit_line(sizes, values)
    points = "; ".join(f"{size:,}: {value:,.4g}" for size, value in zip(sizes, values, strict=True))
    print(
        f"| {label} | {points} | {line.base:,.4g} + {line.slope:,.4g} n | {line.residual:.0%} "
        f"| {line.at(full):,.4g} {unit} |",
        flush=True,
    )


def cpu_ms(function: Callable[[], object], times: int = 5) -> float:
    """Return the smallest CPU time of several runs, in milliseconds."""
    best = float("inf")
    for _ in range(times):
        started = time.process_time()
        function()
        best = min(best, time.process_time() - started)
    return best * 1e3


def measure_heartbeats() -> None:
    """Measure the heartbeats and the memory of the membership, by number of entries."""
    costs = [fleet.heartbeat_cost(size) for size in MEMBER_COUNTS]
    print_row(
        "heartbeats, processor µs a period",
        "µs",
        MEMBER_COUNTS,
        [c.micros for c in costs],
        FULL_ENTRIES,
    )
    sent = [c.bytes_sent for c in costs]
    print_row("heartbeats, bytes a period", "B", MEMBER_COUNTS, sent, FULL_ENTRIES)
    memory = [fleet.record_bytes(size) / 1e6 for size in MEMBER_COUNTS]
    print_row("members known, MB", "MB", MEMBER_COUNTS, memory, FULL_ENTRIES)


def measure_changes() -> None:
    """Measure changes of the policy and of the members, by number of entries."""
    sizes, parsing, applying, viewing, lookups = [], [], [], [], []
    for entries in ENTRY_COUNTS:
        text = json.dumps(fleet.make_policy(entries))
        sizes.append(fleet.document_bytes(fleet.make_policy(entries)) / 1e3)
        parsing.append(cpu_ms(lambda t=text: compile_policy(parse_policy(t), 1)))  # type: ignore[misc]
        view = fleet.make_view(entries)
        policies = [compile_policy(parse_policy(text), version) for version in range(1, 7)]
        core = Core("entry-0", "region-0", "0" * 16, random.Random(1), 0.0)
        core.policy_accepted(policies[0], lambda block: "region-0", 0.0)
        core.view_changed(view, 0.0)
        remaining = iter(policies[1:])
        applying.append(cpu_ms(lambda c=core, r=remaining: c.policy_accepted(next(r), _home, 0.0)))  # type: ignore[misc]
        viewing.append(cpu_ms(lambda c=core, v=view: c.view_changed(v, 0.0)))  # type: ignore[misc]
        table = LookupTable(policies[-1], view, core.rule)
        lookups.append(cpu_ms(lambda t=table: _look_up_all(t), 1))  # type: ignore[misc]
    print_row("policy of 490 sites, kB", "kB", ENTRY_COUNTS, sizes, FULL_ENTRIES)
    print_row("policy: check and compile, ms", "ms", ENTRY_COUNTS, parsing, FULL_ENTRIES)
    print_row("policy: put in force in the core, ms", "ms", ENTRY_COUNTS, applying, FULL_ENTRIES)
    print_row("members changed: core, ms", "ms", ENTRY_COUNTS, viewing, FULL_ENTRIES)
    print_row(
        "members changed: every look-up answer anew, ms", "ms", ENTRY_COUNTS, lookups, FULL_ENTRIES
    )


def _home(block: int) -> str:
    return "region-0"


def _look_up_all(table: LookupTable) -> None:
    for service in range(fleet.SERVICES):
        for home in HOMES:
            table.answer(f"service-{service}", 0, home, 1e9)


def measure_blocks() -> None:
    """Measure the memory and the times of the table of client blocks."""
    memory, building, finding = [], [], []
    for blocks in BLOCK_COUNTS:
        step = 2**32 // blocks
        started = time.process_time()
        table = BlockTable.from_runs((n * step, HOMES[n % 11]) for n in range(blocks))
        building.append(time.process_time() - started)
        memory.append(_table_megabytes(blocks))
        lookups = [random.Random(1).randrange(2**32) for _ in range(20_000)]
        finding.append(cpu_ms(lambda t=table, a=lookups: [t.home(b) for b in a]) / 20_000 * 1e3)  # type: ignore[misc]
        del table
    print_row("blocks, MB", "MB", BLOCK_COUNTS, memory, FULL_BLOCKS)
    print_row("blocks: build from runs, s", "s", BLOCK_COUNTS, building, FULL_BLOCKS)
    print_row("blocks: find one, µs", "µs", BLOCK_COUNTS, finding, FULL_BLOCKS)


def _table_megabytes(blocks: int) -> float:
    """Return the memory of a block table in MB, as traced by tracemalloc."""
    step = 2**32 // blocks
    tracemalloc.start()
    table = BlockTable.from_runs((n * step, HOMES[n % 11]) for n in range(blocks))
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    assert len(table) == blocks
    return memory


def measure_planner() -> None:
    """Measure the reads and the CPU time of one round of the planner's leader."""
    reading, planning = [], []
    for entries in ENTRY_COUNTS:
        policy = compile_policy(parse_policy(json.dumps(fleet.make_policy(entries))), 1)
        reports = [_load_document(number) for number in range(entries)]
        reading.append(sum(len(report.model_dump_json()) for report in reports) / 1e3)
        planner = Planner("steer-1")
        planner.begin_term(1, None, 0.0)

        def one_round(
            planner: Planner = planner, reports: Any = reports, policy: Any = policy
        ) -> None:
            for report in reports:
                planner.add_report(report, 20.0)
            planner.next_plan(policy, 20.0)

        planning.append(cpu_ms(one_round))
    print_row("planner: reports read a round, kB", "kB", ENTRY_COUNTS, reading, FULL_ENTRIES)
    print_row("planner: one round, ms", "ms", ENTRY_COUNTS, planning, FULL_ENTRIES)


def _load_document(number: int) -> LoadDocument:
    service = ServiceLoad(
        demand_by_home={home: 12.345678 for home in HOMES[:3]},
        served=37.654321,
        in_flight=1.234567,
        warm_slots=3,
        slots=3,
    )
    return LoadDocument(
        entry_id=f"entry-{number}",
        incarnation=f"{number:016x}",
        region=HOMES[number % 11],
        number=10_000,
        services={f"service-{n}": service for n in range(fleet.SERVICES)},
    )


def measure_processes() -> None:
    """Run idle entries as processes, and measure the resources that each uses."""
    shares, memory, reads, watches, ready_times = [], [], [], [], []
    for count in PROCESS_COUNTS:
        measured = _run_fleet(count)
        shares.append(measured["share"] * 100)
        memory.append(measured["mb"])
        reads.append(measured["reads"])
        watches.append(measured["watches"])
        ready_times.append(measured["ready_s"])
    print_row("idle entry, % of a core", "%", PROCESS_COUNTS, shares, FULL_ENTRIES)
    print_row("idle entry, resident MB", "MB", PROCESS_COUNTS, memory, FULL_ENTRIES)
    print_row("store: reads/s of all entries", "/s", PROCESS_COUNTS, reads, FULL_ENTRIES)
    print_row("store: waiting watches of all entries", "", PROCESS_COUNTS, watches, FULL_ENTRIES)
    print_row("a new entry is ready after, s", "s", PROCESS_COUNTS, ready_times, FULL_ENTRIES)


def _processes_policy(entries: int) -> dict[str, Any]:
    """Return a policy with entries in three zones, so that most of them watch nothing."""
    document = fleet.make_policy(entries)
    for number in range(entries):
        document["entries"][f"entry-{number}"]["zone"] = fleet.zone_name(
            number % PROCESS_ZONE_COUNT
        )
    return document


def _run_fleet(count: int) -> dict[str, float]:
    """Start a platform and entries, wait until they know one another, and measure them idle."""
    with ExitStack() as stack:
        store = free_ports().platform
        stack.enter_context(process("standins.objectapi", "--port", str(store)))
        wait_for_port(store)
        folder = Path(stack.enter_context(_temporary_directory()))
        ports = _low_ports(count)
        vms = [
            {
                "id": f"entry-{n}",
                "host": fleet.HOST,
                "zone": fleet.zone_name(n % PROCESS_ZONE_COUNT),
                "state": "live",
                "caller_port": p.caller,
                "forward_port": p.forward,
                "peer_port": p.peer,
            }
            for n, p in enumerate(ports)
        ]
        _post(store, "/control", {"vms": vms})
        _put_policy(store, count)
        pids = [_start_entry(stack, folder, n, ports[n], store) for n in range(count - 1)]
        for port in ports[:-1]:
            _wait_ready(port.caller, count - 1)
        time.sleep(SETTLING_TIME_S)
        cpu_before, counters_before, at = (
            [cpu_seconds(p) for p in pids],
            _counters(store),
            time.time(),
        )
        time.sleep(IDLE_S)
        elapsed = time.time() - at
        cpu_used = sum(cpu_seconds(p) for p in pids) - sum(cpu_before)
        counters_after = _counters(store)
        resident = sum(resident_bytes(p) for p in pids) / len(pids)
        started = time.perf_counter()
        _start_entry(stack, folder, count - 1, ports[-1], store)
        _wait_ready(ports[-1].caller, count)
        return {
            "share": cpu_used / elapsed / len(pids),
            "mb": resident / 1e6,
            "reads": (counters_after.get("reads", 0) - counters_before.get("reads", 0)) / elapsed,
            "watches": counters_after["waiting_watches"],
            "ready_s": time.perf_counter() - started,
        }


def _low_ports(count: int) -> list[Ports]:
    """Return ports below the range that the system uses for outgoing connections.

    Dozens of entries connect to one another, so with ports from that range a connection would
    sooner or later occupy the port of an entry that has not started yet.
    """
    ports: list[int] = []
    number = MIN_PORT + os.getpid() % 5_000
    while len(ports) < 3 * count:
        number += 1
        with socket.socket() as probe:
            if probe.connect_ex((fleet.HOST, number)) != 0:
                ports.append(number)
    return [Ports(0, 0, *ports[n : n + 3]) for n in range(0, 3 * count, 3)]


def _temporary_directory() -> Any:
    import tempfile

    return tempfile.TemporaryDirectory()


def _start_entry(stack: ExitStack, folder: Path, number: int, ports: Any, store: int) -> int:
    settings = {
        "platform": {"host": fleet.HOST, "port": store},
        "entry_id": f"entry-{number}",
        "zone": fleet.zone_name(number % PROCESS_ZONE_COUNT),
        "host": fleet.HOST,
        "caller_port": ports.caller,
        "forward_port": ports.forward,
        "peer_port": ports.peer,
        "log_level": "ERROR",
    }
    file = folder / f"entry-{number}.json"
    file.write_text(json.dumps(settings))
    entry = stack.enter_context(
        process("briarspur.entry", "--settings", str(file), kill_on_exit=True)
    )
    return entry.pid


def _put_policy(store: int, entries: int) -> None:
    body = {
        "token": "capacity",
        "author": "capacity",
        "note": "",
        "written_at": "",
        "previous": 0,
        "body": _processes_policy(entries),
    }
    request = urllib.request.Request(
        f"http://{fleet.HOST}:{store}/v1/objects/policy",
        json.dumps(body).encode(),
        {"If-None-Match": "*"},
        method="PUT",
    )
    urllib.request.urlopen(request, timeout=5).close()


def _post(port: int, path: str, document: dict[str, Any]) -> None:
    request = urllib.request.Request(
        f"http://{fleet.HOST}:{port}{path}", json.dumps(document).encode(), method="POST"
    )
    urllib.request.urlopen(request, timeout=5).close()


def _get(port: int, path: str) -> dict[str, Any]:
    with urllib.request.urlopen(f"http://{fleet.HOST}:{port}{path}", timeout=5) as response:
        document: dict[str, Any] = json.loads(response.read())
        return document


def _counters(store: int) -> dict[str, Any]:
    control = _get(store, "/control")
    counters: dict[str, Any] = control.get("counts", control)
    return counters


def _wait_ready(port: int, count: int) -> None:
    """Wait until an entry is ready and knows all others."""
    for _ in range(1_200):
        try:
            status = _get(port, "/status")
            if status["ready"] and len(status["members"]) == count:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise SystemExit(f"the entry on port {port} does not know {count} entries")


def main() -> int:
    """Run all measurements, or those named as arguments."""
    measurements = {
        "heartbeats": measure_heartbeats,
        "changes": measure_changes,
        "blocks": measure_blocks,
        "planner": measure_planner,
        "processes": measure_processes,
    }
    print(f"{os.cpu_count()} cores, plain loop {loop_time():.2f} s")
    print("| What | Measured | Fit | Residual | At 1,700 entries, 4 M blocks |")
    print("|---|---|---|---|---|")
    for name in sys.argv[1:] or measurements:
        measurements[name]()
    print(f"watches of the store held: {fleet.watching_members(FULL_ENTRIES)} at 1,700 entries")
    return 0


if __name__ == "__main__":
    sys.exit(main())
