"""Measure the cost of service levels: recording, reporting, collecting and storing them.

``python tools/levelcost.py`` prints one line per cost, and the collector's for several fleet sizes.
"""

import asyncio
import json
import random
import sys
import time
import tracemalloc
from dataclasses import replace
from pathlib import Path

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from briarspur.collect import Collector, MinuteCounts
from briarspur.coord.memorystore import MemoryStore
from briarspur.levelhistory import LevelHistory, hour_name
from briarspur.levels import LevelsDocument, ServiceLevelCounter
from briarspur.windows import SLOT_S

__all__ = ["main"]

SERVICES = [f"service-{n}" for n in range(8)]
REGIONS = [f"region-{n}" for n in range(11)]
CODES = (1000, 1001, 2101, 3000)
FLEET_SIZES = (25, 100, 400, 1_700)
RECORDS = 200_000
RESPONSES_PER_ENTRY = 600


def _make_levels(number: int, rng: random.Random, answers: int) -> ServiceLevelCounter:
    levels = ServiceLevelCounter(f"entry-{number}", "a", "zone", 0.0)
    levels.set_objectives(dict.fromkeys(SERVICES, 0.5))
    for _ in range(answers):
        code = CODES[0] if rng.random() < 0.99 else rng.choice(CODES)
        levels.record(
            rng.choice(SERVICES), rng.choice(REGIONS), code, rng.lognormvariate(-3.5, 0.7)
        )
    return levels


def _record_cost(rng: random.Random) -> None:
    levels = _make_levels(0, rng, 0)
    latencies = [rng.lognormvariate(-3.5, 0.7) for _ in range(RECORDS)]
    started = time.perf_counter()
    for latency in latencies:
        levels.record(SERVICES[0], REGIONS[0], 1000, latency)
    print(f"record: {(time.perf_counter() - started) / RECORDS * 1e6:.2f} us per response")


def _report_cost(rng: random.Random) -> None:
    levels = _make_levels(0, rng, 50_000)
    started = time.perf_counter()
    report = levels.snapshot(60.0)
    elapsed_s = time.perf_counter() - started
    size = len(LevelsDocument.model_validate(report).model_dump_json())
    print(f"report: {elapsed_s * 1e3:.2f} ms, {size} bytes once a minute ({size / SLOT_S:.0f} B/s)")


def _collect_cost(rng: random.Random, fleet: int) -> None:
    entries = [_make_levels(n, rng, RESPONSES_PER_ENTRY) for n in range(fleet)]
    collector = Collector()
    reports = [LevelsDocument.model_validate(entry.snapshot(30.0)) for entry in entries]
    collector.collect(60.0, SERVICES, reports, {})
    for entry in entries:
        entry.record(SERVICES[0], REGIONS[0], 1000, 0.03)
    started = time.process_time()
    reports = [LevelsDocument.model_validate(entry.snapshot(90.0)) for entry in entries]
    checked = time.process_time()
    counted = collector.collect(120.0, SERVICES, reports, {})
    cpu_s = time.process_time() - checked
    print(
        f"collect: {fleet} entries: {cpu_s:.3f} s of CPU time a minute "
        f"({cpu_s / SLOT_S:.2%} of a core), building and checking reports {checked - started:.3f} s"
    )
    if fleet == FLEET_SIZES[-1]:
        _store_cost(counted[SERVICES[0]])


def _memory_cost(rng: random.Random, fleet: int) -> None:
    texts = [
        json.dumps(_make_levels(n, rng, RESPONSES_PER_ENTRY).snapshot(30.0)) for n in range(fleet)
    ]
    tracemalloc.start()
    collector = Collector()
    reports = [LevelsDocument.model_validate_json(text) for text in texts]
    collector.collect(60.0, SERVICES, reports, {})
    current, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: {fleet} entries: {current / 1e6:.1f} MB used, {peak / 1e6:.1f} MB at the peak")


def _store_cost(counted: MinuteCounts) -> None:
    """Print the stored size of an hour in which every minute has the given counts."""
    store = MemoryStore()
    history = LevelHistory(store)
    for minute in range(60):
        slot = replace(counted.slot, start=minute * SLOT_S)
        asyncio.run(history.write(SERVICES[0], MinuteCounts(slot, counted.latency)))
    record = asyncio.run(store.get(hour_name(SERVICES[0], 0)))
    size = len(record.value) if record else 0
    rate = len(SERVICES) / SLOT_S
    print(f"store: {size} bytes per hour and service, {rate:.2f} reads/s and writes/s in total")


def main() -> int:
    """Measure and print all costs."""
    rng = random.Random(1)
    _record_cost(rng)
    _report_cost(rng)
    for fleet in FLEET_SIZES:
        _collect_cost(rng, fleet)
    for fleet in FLEET_SIZES[:-1]:
        _memory_cost(rng, fleet)
    return 0


if __name__ == "__main__":
    sys.exit(main())
