"""What service levels cost: recording, reporting, collecting and keeping them.

``python tools/levelcost.py`` prints one line for each cost, and the collector's at several fleets.
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
FLEETS = (25, 100, 400, 1_700)
RECORDS = 200_000
ANSWERS_AN_ENTRY = 600


def _entry(number: int, rng: random.Random, answers: int) -> ServiceLevelCounter:
    levels = ServiceLevelCounter(f"entry-{number}", "a", "zone", 0.0)
    levels.set_objectives(dict.fromkeys(SERVICES, 0.5))
    for _ in range(answers):
        code = CODES[0] if rng.random() < 0.99 else rng.choice(CODES)
        levels.record(
            rng.choice(SERVICES), rng.choice(REGIONS), code, rng.lognormvariate(-3.5, 0.7)
        )
    return levels


def _record_cost(rng: random.Random) -> None:
    levels = _entry(0, rng, 0)
    latencies = [rng.lognormvariate(-3.5, 0.7) for _ in range(RECORDS)]
    began = time.perf_counter()
    for latency in latencies:
        levels.record(SERVICES[0], REGIONS[0], 1000, latency)
    print(f"record: {(time.perf_counter() - began) / RECORDS * 1e6:.2f} us an answer")


def _report_cost(rng: random.Random) -> None:
    levels = _entry(0, rng, 50_000)
    began = time.perf_counter()
    report = levels.snapshot(60.0)
    spent = time.perf_counter() - began
    size = len(LevelsDocument.model_validate(report).model_dump_json())
    print(f"report: {spent * 1e3:.2f} ms, {size} bytes once a minute ({size / SLOT_S:.0f} B/s)")


def _collect_cost(rng: random.Random, fleet: int) -> None:
    entries = [_entry(n, rng, ANSWERS_AN_ENTRY) for n in range(fleet)]
    collector = Collector()
    reports = [LevelsDocument.model_validate(entry.snapshot(30.0)) for entry in entries]
    collector.collect(60.0, SERVICES, reports, {})
    for entry in entries:
        entry.record(SERVICES[0], REGIONS[0], 1000, 0.03)
    began = time.process_time()
    reports = [LevelsDocument.model_validate(entry.snapshot(90.0)) for entry in entries]
    checked = time.process_time()
    counted = collector.collect(120.0, SERVICES, reports, {})
    spent = time.process_time() - checked
    print(
        f"collect: {fleet} entries: {spent:.3f} s of processor a minute "
        f"({spent / SLOT_S:.2%} of a core), making and checking reports {checked - began:.3f} s"
    )
    if fleet == FLEETS[-1]:
        _keep_cost(counted[SERVICES[0]])


def _memory_cost(rng: random.Random, fleet: int) -> None:
    texts = [json.dumps(_entry(n, rng, ANSWERS_AN_ENTRY).snapshot(30.0)) for n in range(fleet)]
    tracemalloc.start()
    collector = Collector()
    reports = [LevelsDocument.model_validate_json(text) for text in texts]
    collector.collect(60.0, SERVICES, reports, {})
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: {fleet} entries: {held / 1e6:.1f} MB held, {peak / 1e6:.1f} MB at the peak")


def _keep_cost(counted: MinuteCounts) -> None:
    """Print the size of an hour whose minutes all hold what was counted."""
    store = MemoryStore()
    history = LevelHistory(store)
    for minute in range(60):
        slot = replace(counted.slot, start=minute * SLOT_S)
        asyncio.run(history.write(SERVICES[0], MinuteCounts(slot, counted.latency)))
    found = asyncio.run(store.get(hour_name(SERVICES[0], 0)))
    size = len(found.value) if found else 0
    rate = len(SERVICES) / SLOT_S
    print(f"keep: {size} bytes an hour and service, {rate:.2f} reads/s and writes/s in all")


def main() -> int:
    """Print every cost."""
    rng = random.Random(1)
    _record_cost(rng)
    _report_cost(rng)
    for fleet in FLEETS:
        _collect_cost(rng, fleet)
    for fleet in FLEETS[:-1]:
        _memory_cost(rng, fleet)
    return 0


if __name__ == "__main__":
    sys.exit(main())
