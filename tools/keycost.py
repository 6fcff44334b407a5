"""Measure the cost of at-most-once keys in one entry: time and memory per key, and export."""

import sys
import time
import tracemalloc

from briarspur.coord.keys import parse_key
from briarspur.coord.keystates import KeptAnswer
from briarspur.coord.once import KeyMemory
from briarspur.coord.outcomes import close_and_export

KEYS = 50_000
RESPONSE = KeptAnswer(201, ((b"content-type", b"application/json"),), b"x" * 100)


def fill(memory: KeyMemory, wall: float) -> None:
    """Admit, dispatch and finish one request for each of ``KEYS`` keys."""
    prefix = memory.issue_prefix(0.0, wall)
    for n in range(KEYS):
        key = parse_key(f"{prefix}.caller-{n:08d}").ok
        memory.admit_request(key, b"d" * 32, f"r{n}", 0.0, wall)
        memory.mark_dispatched(key, n)
        memory.mark_finished(key, RESPONSE, 0.0)


def main() -> int:
    """Measure and print the costs."""
    wall = time.time()
    memory = KeyMemory("0" * 16, KEYS, 600.0, 5.0, max_answer_bytes=64_000_000)
    started = time.perf_counter()
    fill(memory, wall)
    print(
        f"{(time.perf_counter() - started) / KEYS * 1e6:.1f} us per key: parse, admit, run, finish"
    )
    started = time.perf_counter()
    pages = close_and_export(memory)
    export_s = time.perf_counter() - started
    largest = max(len(page.value) for page in pages)
    print(f"{export_s * 1e3:.0f} ms to encode {len(pages)} pages, the largest of {largest} bytes")
    tracemalloc.start()
    fill(KeyMemory("0" * 16, KEYS, 600.0, 5.0, max_answer_bytes=64_000_000), wall)
    print(f"{tracemalloc.get_traced_memory()[1] / KEYS:.0f} bytes per key with one shared response")
    return 0


if __name__ == "__main__":
    sys.exit(main())
