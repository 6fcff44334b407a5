"""Play returns of the store from an older copy against callers with their own keys.

``python -m tools.restoredclaims`` runs real entries, backend servers and the stand-in of the store.
Bookings are answered at one entry, the store loses their claims, and the same keys are sent to two
other entries. It prints how many keys ran twice, and how long new keys of callers were refused.
"""

import http.client
import signal
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from standins.system import System, call, wait_until
from tests.scenarios.smallsystem import COPY_AGE_S, small_system

__all__ = ["CASES", "Case", "Played", "Prober", "main", "play", "send_booking"]

ANSWERED = "1000"
KEY_COUNT = 20
HOLDER = "entry-1"
SETTLE_S = COPY_AGE_S + 1.0
"""Time between the start and the first booking, so that all entries are older than the copy."""
MARGIN_S = 0.3
"""Added to the age of the copy, so that it certainly lacks the claims."""
PROBE_S = 0.1
"""Seconds between two rounds of bookings with new keys."""
PROBED_S = 12.0
CALL_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class Case:
    """What happens between the first copies of the bookings and their repeats; times in seconds.

    Attributes
    ----------
    restarted : str
        An entry that is killed and started again right after the return.
    paused_s : float
        The holder is stopped by a signal for this time, which includes the return.
    """

    name: str
    returns: int = 1
    is_holder_killed: bool = False
    away_s: float = 0.0
    delay_s: float = 0.0
    restarted: str = ""
    paused_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Played:
    """The result of one case.

    Attributes
    ----------
    ran_twice : int
        Keys that the backend servers ran more than once.
    codes : Counter of str
        Result codes of the repeats.
    """

    ran_twice: int
    codes: Counter[str]
    prober: "Prober"


CASES = (
    Case("no return", returns=0),
    Case("a return"),
    Case("a return, repeats after 8 s", delay_s=8.0),
    Case("away for 2 s, then a return", away_s=2.0),
    Case("two returns within 1 s", returns=2),
    Case("holder killed before the return", is_holder_killed=True),
    Case("holder killed before the return, repeats after 8 s", is_holder_killed=True, delay_s=8.0),
    Case("holder paused from before the return for 4 s", paused_s=4.0),
    Case("holder killed after the return and started again", restarted=HOLDER),
    Case("another entry killed after the return and started again", restarted="entry-2"),
)


@dataclass(slots=True)
class Prober:
    """Sends bookings with new keys to all entries that are not harmed, in a thread.

    Attributes
    ----------
    refused_s : float
        Seconds from the start until the last refusal of a new key of a caller.
    retry_after : set of int
        The values of Retry-After that these refusals had.
    lookup_keys_refused : int
        Bookings with keys of look-ups that were refused.
    """

    system: System
    entry_ids: tuple[str, ...] = ("entry-3", "entry-4")
    refused_s: float = 0.0
    sent: int = 0
    retry_after: set[int] = field(default_factory=set)
    lookup_keys_refused: int = 0
    thread: threading.Thread = field(init=False)

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        began = time.monotonic()
        while time.monotonic() - began < PROBED_S:
            for entry_id in self.entry_ids:
                self._probe(entry_id, began)
            time.sleep(PROBE_S)

    def _probe(self, entry_id: str, began: float) -> None:
        self.sent += 1
        code, retry_after = send_booking(self.system, entry_id, f"another-own-key-{self.sent:05d}")
        if code != ANSWERED:
            self.refused_s = time.monotonic() - began
            self.retry_after.add(int(retry_after or 0))
        issued_key = look_up_key(self.system, entry_id, self.sent)
        self.lookup_keys_refused += send_booking(self.system, entry_id, issued_key)[0] != ANSWERED


def send_booking(system: System, entry_id: str, key: str) -> tuple[str, str | None]:
    """Send a booking to an entry; return the result code and Retry-After of the response."""
    address = system.deployment.address(entry_id)
    connection = http.client.HTTPConnection(address.host, address.port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request("POST", "/booking/new", b"", {"Idempotency-Key": key})
        response = connection.getresponse()
        response.read()
        return response.headers["Briarspur-Code"], response.headers["Retry-After"]
    finally:
        connection.close()


def look_up_key(system: System, entry_id: str, number: int) -> str:
    """Return a key with the prefix of a look-up."""
    address = system.deployment.address(entry_id)
    found = call(address.host, address.port, "/v1/lookup?service=booking")
    return f"{found['key_prefix']}.caller-{number:05d}"


def count_runs(system: System) -> Counter[str]:
    """Return how often the backend servers ran each key."""
    runs: Counter[str] = Counter()
    for ledger in system.ledgers():
        runs.update({key: len(found) for key, found in ledger["runs_by_key"].items()})
    return runs


def return_store(system: System, case: Case, since: float) -> None:
    """Let the store return from a copy that lacks what was written after ``since``."""
    if case.away_s:
        system.switch_platform(outage="reset")
        time.sleep(case.away_s)
    for number in range(case.returns):
        if number:
            time.sleep(0.5)
        system.switch_platform(restore_s=time.monotonic() - since + MARGIN_S)
    if case.away_s:
        system.switch_platform(outage="none")


@contextmanager
def settled_system() -> Iterator[System]:
    """Run a system whose entries know each other and have written what they write at the start."""
    with small_system() as system:
        time.sleep(SETTLE_S)
        yield system


def disturb(system: System, case: Case, since: float) -> Prober:
    """Play what happens before the repeats; return the running prober."""
    if case.is_holder_killed:
        system.launcher.kill(HOLDER)
    if case.paused_s:
        system.launcher.signal(HOLDER, signal.SIGSTOP)
    return_store(system, case, since)
    prober = Prober(system)
    prober.thread.start()
    if case.restarted:
        system.launcher.kill(case.restarted)
        system.start_entry(case.restarted)
        wait_until(lambda: system.is_ready(case.restarted), f"{case.restarted} ready")
    if case.paused_s:
        time.sleep(case.paused_s)
        system.launcher.signal(HOLDER, signal.SIGCONT)
    time.sleep(case.delay_s)
    return prober


def play(case: Case) -> Played:
    """Play one case with a system of its own."""
    keys = [f"callers-own-key-{number:03d}" for number in range(KEY_COUNT)]
    with settled_system() as system:
        since = time.monotonic()
        answered = {send_booking(system, HOLDER, key)[0] for key in keys}
        assert answered == {ANSWERED}, answered
        prober = disturb(system, case, since)
        codes = Counter(
            send_booking(system, entry_id, key)[0]
            for key in keys
            for entry_id in ("entry-2", "entry-3")
        )
        prober.thread.join()
        # Once new claims are given out again, the repeats must still not run.
        for key in keys:
            send_booking(system, "entry-4", key)
        runs = count_runs(system)
        return Played(sum(runs[key] > 1 for key in keys), codes, prober)


def main() -> None:
    """Play all cases and print a table."""
    print("| case | ran twice | codes of repeats | new keys refused for | Retry-After, s |")
    print("|---|---|---|---|---|")
    for case in CASES:
        result = play(case)
        prober = result.prober
        codes = ", ".join(f"{code}: {count}" for code, count in sorted(result.codes.items()))
        waits = sorted(prober.retry_after)
        wait = f"{waits[0]} to {waits[-1]}" if waits else "none"
        refused = f"{prober.refused_s:.1f} s" if prober.refused_s < PROBED_S - 1.0 else "longer"
        print(
            f"| {case.name} | {result.ran_twice} of {KEY_COUNT} | {codes} | {refused} | {wait} |",
            flush=True,
        )
        if prober.lookup_keys_refused:
            print(f"look-up keys refused: {prober.lookup_keys_refused} of {prober.sent}")


if __name__ == "__main__":
    main()
