"""Print what at-most-once keys cost one entry: time and memory a key, and a planned stop."""

import sys
import time
import tracemalloc

from briarspur.coord.keys import parse_key
from briarspur.coord.keystates import KeptAnswer
from briarspur.coord.once import KeyMemory
from briarspur.coord.outcomes import close_and_export

KEYS = 50_000
ANSWER = KeptAnswer(201, ((b"content-type", b"application/json"),), b"x" * 100)


def fill(memory: KeyMemory, wall: float) -> None:
    """Carry as many keys through as are measured."""
    prefix = memory.issue_prefix(0.0, wall)
    for n in range(KEYS):
        key = parse_key(f"{prefix}.caller-{n:08d}").ok
        memory.admit_request(key, b"d" * 32, f"r{n}", 0.0, wall)
        memory.mark_dispatched(key, n)
        memory.mark_finished(key, ANSWER, 0.0)


def main() -> int:
    """Measure once."""
    wall = time.time()
    memory = KeyMemory("0" * 16, KEYS, 600.0, 5.0, max_answer_bytes=64_000_000)
    begin = time.perf_counter()
    fill(memory, wall)
    print(f"{(time.perf_counter() - begin) / KEYS * 1e6:.1f} us a key: parse, arrive, run, keep")
    begin = time.perf_counter()
    pages = close_and_export(memory)
    spent = time.perf_counter() - begin
    largest = max(len(page.value) for page in pages)
    print(f"{spent * 1e3:.0f} ms to encode {len(pages)} pages, the largest of {largest} bytes")
    tracemalloc.start()
    fill(KeyMemory("0" * 16, KEYS, 600.0, 5.0, max_answer_bytes=64_000_000), wall)
    print(f"{tracemalloc.get_traced_memory()[1] / KEYS:.0f} bytes a key with one shared answer")
    return 0


if __name__ == "__main__":
    sys.exit(main())
