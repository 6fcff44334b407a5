"""``make capacity``: costs at three sizes, their fit, and what that gives at letter 1's size."""

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
    free_ports,
    plain_loop,
    process,
    processor_seconds,
    resident_bytes,
    wait_for_port,
)

PEERS = (25, 100, 400)
ENTRIES = (25, 100, 400)
REAL = (12, 20, 32)
REAL_ZONES = 3
LOWEST_PORT = 20_000
BLOCKS = (250_000, 1_000_000, 4_000_000)
FULL_ENTRIES = 1_700
FULL_BLOCKS = 4_000_000
QUIET_S = 10.0
SETTLE_S = 12.0
"""Longer than a watch waits: only then have entries that began alone given theirs up."""
HOMES = [f"region-{n}" for n in range(fleet.REGIONS)]


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through measured points.

    Attributes
    ----------
    residual : float
        Largest distance of a point from the line, as a part of the largest value.
    """

    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the line of least squares."""
    mean_x, mean_y = sum(sizes) / len(sizes), sum(values) / len(values)
    spread = sum((x - mean_x) ** 2 for x in sizes)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True)) / spread
    base = mean_y - slope * mean_x
    worst = max(abs(base + slope * x - y) for x, y in zip(sizes, values, strict=True))
    return Fit(base, slope, worst / max(max(values), 1e-12))


def show(what: str, unit: str, sizes: Sequence[int], values: Sequence[float], full: int) -> None:
    """Print one row: the points, the line and its value at full size."""
    line = fit(sizes, values)
    points = "; ".join(f"{size:,}: {value:,.4g}" for size, value in zip(sizes, values, strict=True))
    print(
        f"| {what} | {points} | {line.base:,.4g} + {line.slope:,.4g} n | {line.residual:.0%} "
        f"| {line.at(full):,.4g} {unit} |",
        flush=True,
    )


def timed(work: Callable[[], object], times: int = 5) -> float:
    """Return the least processor time of some runs, in milliseconds."""
    best = float("inf")
    for _ in range(times):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best * 1e3


def measure_heartbeats() -> None:
    """Measure heartbeats and the state they keep, by number of entries."""
    costs = [fleet.heartbeat_cost(size) for size in PEERS]
    show("heartbeats, processor µs a period", "µs", PEERS, [c.micros for c in costs], FULL_ENTRIES)
    sent = [c.bytes_sent for c in costs]
    show("heartbeats, bytes a period", "B", PEERS, sent, FULL_ENTRIES)
    memory = [fleet.record_bytes(size) / 1e6 for size in PEERS]
    show("members known, MB", "MB", PEERS, memory, FULL_ENTRIES)


def measure_changes() -> None:
    """Measure a change of the policy or of the members, by number of entries."""
    sizes, parsing, taking, viewing, lookups = [], [], [], [], []
    for entries in ENTRIES:
        text = json.dumps(fleet.policy_of(entries))
        sizes.append(fleet.document_bytes(fleet.policy_of(entries)) / 1e3)
        parsing.append(timed(lambda t=text: compile_policy(parse_policy(t), 1)))  # type: ignore[misc]
        view = fleet.view_of(entries)
        policies = [compile_policy(parse_policy(text), version) for version in range(1, 7)]
        core = Core("entry-0", "region-0", "0" * 16, random.Random(1), 0.0)
        core.policy_accepted(policies[0], lambda block: "region-0", 0.0)
        core.view_changed(view, 0.0)
        rest = iter(policies[1:])
        taking.append(timed(lambda c=core, r=rest: c.policy_accepted(next(r), _home, 0.0)))  # type: ignore[misc]
        viewing.append(timed(lambda c=core, v=view: c.view_changed(v, 0.0)))  # type: ignore[misc]
        table = LookupTable(policies[-1], view, core.rule)
        lookups.append(timed(lambda t=table: _all_lookups(t), 1))  # type: ignore[misc]
    show("policy of 490 sites, kB", "kB", ENTRIES, sizes, FULL_ENTRIES)
    show("policy: check and compile, ms", "ms", ENTRIES, parsing, FULL_ENTRIES)
    show("policy: put in force in the core, ms", "ms", ENTRIES, taking, FULL_ENTRIES)
    show("members changed: core, ms", "ms", ENTRIES, viewing, FULL_ENTRIES)
    show("members changed: every look-up answer anew, ms", "ms", ENTRIES, lookups, FULL_ENTRIES)


def _home(block: int) -> str:
    return "region-0"


def _all_lookups(table: LookupTable) -> None:
    for service in range(fleet.SERVICES):
        for home in HOMES:
            table.answer(f"service-{service}", 0, home, 1e9)


def measure_blocks() -> None:
    """Measure memory and time of the table of client blocks."""
    memory, building, finding = [], [], []
    for blocks in BLOCKS:
        step = 2**32 // blocks
        started = time.process_time()
        table = BlockTable.from_runs((n * step, HOMES[n % 11]) for n in range(blocks))
        building.append(time.process_time() - started)
        memory.append(_held_megabytes(blocks))
        asked = [random.Random(1).randrange(2**32) for _ in range(20_000)]
        finding.append(timed(lambda t=table, a=asked: [t.home(b) for b in a]) / 20_000 * 1e3)  # type: ignore[misc]
        del table
    show("blocks, MB", "MB", BLOCKS, memory, FULL_BLOCKS)
    show("blocks: build from runs, s", "s", BLOCKS, building, FULL_BLOCKS)
    show("blocks: find one, µs", "µs", BLOCKS, finding, FULL_BLOCKS)


def _held_megabytes(blocks: int) -> float:
    """Return the memory of a table, counted by Python's allocator."""
    step = 2**32 // blocks
    tracemalloc.start()
    table = BlockTable.from_runs((n * step, HOMES[n % 11]) for n in range(blocks))
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    assert len(table) == blocks
    return held


def measure_planner() -> None:
    """Measure what the holder of the planner's lease reads and works in one round."""
    reading, planning = [], []
    for entries in ENTRIES:
        policy = compile_policy(parse_policy(json.dumps(fleet.policy_of(entries))), 1)
        reports = [_load(number) for number in range(entries)]
        reading.append(sum(len(report.model_dump_json()) for report in reports) / 1e3)
        planner = Planner("steer-1")
        planner.begin_term(1, None, 0.0)

        def one_round(
            planner: Planner = planner, reports: Any = reports, policy: Any = policy
        ) -> None:
            for report in reports:
                planner.add_report(report, 20.0)
            planner.next_plan(policy, 20.0)

        planning.append(timed(one_round))
    show("planner: reports read a round, kB", "kB", ENTRIES, reading, FULL_ENTRIES)
    show("planner: one round, ms", "ms", ENTRIES, planning, FULL_ENTRIES)


def _load(number: int) -> LoadDocument:
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
    """Run real entries that carry nothing, and read what each of them takes."""
    shares, memory, reads, watches, useful = [], [], [], [], []
    for count in REAL:
        found = _run_fleet(count)
        shares.append(found["share"] * 100)
        memory.append(found["mb"])
        reads.append(found["reads"])
        watches.append(found["watches"])
        useful.append(found["useful"])
    show("idle entry, % of a core", "%", REAL, shares, FULL_ENTRIES)
    show("idle entry, resident MB", "MB", REAL, memory, FULL_ENTRIES)
    show("store: reads/s of all entries", "/s", REAL, reads, FULL_ENTRIES)
    show("store: waiting watches of all entries", "", REAL, watches, FULL_ENTRIES)
    show("a new entry is ready after, s", "s", REAL, useful, FULL_ENTRIES)


def _processes_policy(entries: int) -> dict[str, Any]:
    """Return a policy whose entries are in three zones, so that most of them hold no watch."""
    document = fleet.policy_of(entries)
    for number in range(entries):
        document["entries"][f"entry-{number}"]["zone"] = fleet.zone_name(number % REAL_ZONES)
    return document


def _run_fleet(count: int) -> dict[str, float]:
    """Start a platform and entries, wait until they see one another, and measure while idle."""
    with ExitStack() as stack:
        store = free_ports().platform
        stack.enter_context(process("standins.objectapi", "--port", str(store)))
        wait_for_port(store)
        folder = Path(stack.enter_context(_folder()))
        ports = _low_ports(count)
        vms = [
            {
                "id": f"entry-{n}",
                "host": fleet.HOST,
                "zone": fleet.zone_name(n % REAL_ZONES),
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
        time.sleep(SETTLE_S)
        before, counted, at = [processor_seconds(p) for p in pids], _counters(store), time.time()
        time.sleep(QUIET_S)
        passed = time.time() - at
        used = sum(processor_seconds(p) for p in pids) - sum(before)
        after = _counters(store)
        resident = sum(resident_bytes(p) for p in pids) / len(pids)
        started = time.perf_counter()
        _start_entry(stack, folder, count - 1, ports[-1], store)
        _wait_ready(ports[-1].caller, count)
        return {
            "share": used / passed / len(pids),
            "mb": resident / 1e6,
            "reads": (after.get("reads", 0) - counted.get("reads", 0)) / passed,
            "watches": after["waiting_watches"],
            "useful": time.perf_counter() - started,
        }


def _low_ports(count: int) -> list[Ports]:
    """Return ports below those that the system gives to outgoing connections.

    Among dozens of entries that connect to one another, such a connection would sooner or later
    take the port of an entry that has not begun yet.
    """
    found: list[int] = []
    number = LOWEST_PORT + os.getpid() % 5_000
    while len(found) < 3 * count:
        number += 1
        with socket.socket() as probe:
            if probe.connect_ex((fleet.HOST, number)) != 0:
                found.append(number)
    return [Ports(0, 0, *found[n : n + 3]) for n in range(0, 3 * count, 3)]


def _folder() -> Any:
    import tempfile

    return tempfile.TemporaryDirectory()


def _start_entry(stack: ExitStack, folder: Path, number: int, ports: Any, store: int) -> int:
    settings = {
        "platform": {"host": fleet.HOST, "port": store},
        "entry_id": f"entry-{number}",
        "zone": fleet.zone_name(number % REAL_ZONES),
        "host": fleet.HOST,
        "caller_port": ports.caller,
        "forward_port": ports.forward,
        "peer_port": ports.peer,
        "log_level": "ERROR",
    }
    file = folder / f"entry-{number}.json"
    file.write_text(json.dumps(settings))
    entry = stack.enter_context(process("briarspur.entry", "--settings", str(file), at_once=True))
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
    with urllib.request.urlopen(f"http://{fleet.HOST}:{port}{path}", timeout=5) as answer:
        found: dict[str, Any] = json.loads(answer.read())
        return found


def _counters(store: int) -> dict[str, Any]:
    found = _get(store, "/control")
    counters: dict[str, Any] = found.get("counts", found)
    return counters


def _wait_ready(port: int, count: int) -> None:
    """Wait until an entry is ready and sees all others."""
    for _ in range(1_200):
        try:
            status = _get(port, "/status")
            if status["ready"] and len(status["members"]) == count:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise SystemExit(f"the entry on port {port} does not see {count} entries")


def main() -> int:
    """Measure everything, or the parts named as arguments."""
    parts = {
        "heartbeats": measure_heartbeats,
        "changes": measure_changes,
        "blocks": measure_blocks,
        "planner": measure_planner,
        "processes": measure_processes,
    }
    print(f"{os.cpu_count()} cores, plain loop {plain_loop():.2f} s")
    print("| What | Measured | Fit | Residual | At 1,700 entries, 4 M blocks |")
    print("|---|---|---|---|---|")
    for name in sys.argv[1:] or parts:
        parts[name]()
    print(f"watches of the store held: {fleet.watching_members(FULL_ENTRIES)} at 1,700 entries")
    return 0


if __name__ == "__main__":
    sys.exit(main())
