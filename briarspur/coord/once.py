"""At-most-once execution: what one entry incarnation remembers of each idempotency key.

A key is dispatched at most once unless it is proved that the dispatch ran nothing. The memory
never forgets a key before it has expired, and an expired key is refused, so forgetting is safe.
Nothing here does I/O. ``now`` is monotonic seconds, ``wall`` is unix seconds.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Iterator

from briarspur.coord.invariants import invariants
from briarspur.coord.keys import Key, KeyFault, make_prefix, parse_key
from briarspur.coord.keystates import (
    SETTLED,
    Arrival,
    Expired,
    Fresh,
    Full,
    Joined,
    KeptAnswer,
    KeyRecord,
    KeyState,
    Lost,
    NotHome,
    NotIssued,
    Replay,
    Reused,
)
from briarspur.coord.proofs import NotRun, NotRunProof, OutcomeUnknown, release

__all__ = [
    "Arrival",
    "Expired",
    "Fresh",
    "Full",
    "Joined",
    "KeptAnswer",
    "Key",
    "KeyFault",
    "KeyMemory",
    "KeyRecord",
    "KeyState",
    "Lost",
    "NotHome",
    "NotIssued",
    "NotRun",
    "NotRunProof",
    "OutcomeUnknown",
    "Replay",
    "Reused",
    "make_prefix",
    "parse_key",
]

DEFAULT_ANSWER_BYTES = 8 * 1024 * 1024
SPARE_EXPIRIES = 64


class KeyMemory:
    """The keys of one entry incarnation.

    Parameters
    ----------
    incarnation : str
        16 hex digits, random, new with each process.
    capacity : int
        Keys remembered at most. When full, new keys are refused; none is evicted unexpired.
    lifetime : float
        Seconds from a key prefix being handed out to its expiry.
    skew : float
        Seconds by which the clocks of entries may differ: a key is remembered this much longer
        than it is accepted, and a key that expires later than ``lifetime + skew`` is refused.
    answer_bytes : int
        Bytes of answers kept at most; beyond it the oldest answers are dropped, never their keys.
    """

    def __init__(
        self,
        incarnation: str,
        capacity: int,
        lifetime: float,
        skew: float,
        answer_bytes: int = DEFAULT_ANSWER_BYTES,
    ) -> None:
        self.incarnation = incarnation
        self.capacity = capacity
        self.answer_bytes = answer_bytes
        self.forgotten_through = -math.inf
        self.closed = False
        self._lifetime = lifetime
        self._longest_lifetime = lifetime
        self._skew = skew
        self._now = -math.inf
        self._time = -math.inf
        self._records_by_text: dict[str, KeyRecord] = {}
        self._texts_by_request: dict[str, str] = {}
        self._expiries: list[tuple[float, str]] = []
        self._answer_sizes_by_text: OrderedDict[str, int] = OrderedDict()
        self._answer_bytes_used = 0

    def __len__(self) -> int:
        return len(self._records_by_text)

    @property
    def time(self) -> float:
        """Unix seconds as last told, never going back; 0 before the first time."""
        return max(self._time, 0.0)

    def records(self) -> Iterator[KeyRecord]:
        """Yield every record, oldest first."""
        yield from self._records_by_text.values()

    def state(self, key: Key) -> KeyState | None:
        """Return the key's state, None if it is not remembered."""
        record = self._records_by_text.get(key.text)
        return record.state if record else None

    def prefix(self, now: float, wall: float) -> str:
        """Return the prefix to hand out with a look-up now."""
        self._advance(now, wall)
        return make_prefix(self.incarnation, math.floor(self._time + self._lifetime))

    def set_lifetime(self, lifetime: float) -> None:
        """Use another lifetime for the prefixes handed out from now on."""
        self._lifetime = lifetime
        self._longest_lifetime = max(self._longest_lifetime, lifetime)

    def arrive(
        self, key: Key, body_digest: bytes, request_id: str, now: float, wall: float
    ) -> Arrival:
        """Say what is to be done with a request that carries ``key``."""
        if key.incarnation is not None and key.incarnation != self.incarnation:
            return NotHome(key.incarnation)
        self.expire(now, wall)
        if key.expiry is not None and key.expiry <= self._time:
            return Expired()
        if key.expiry is not None and key.expiry > self._time + self._longest_lifetime + self._skew:
            # A forged expiry far ahead would hold its place in the memory for as long; a few
            # thousand such keys would make the entry refuse every honest one.
            return NotIssued()
        record = self._records_by_text.get(key.text)
        if record is None:
            return self._accept(key, body_digest, request_id)
        return self._repeat(record, body_digest, request_id)

    def claimed(self, key: Key) -> None:
        """Note that the claim of a foreign key is ours."""
        self._records_by_text[key.text].claimed = True

    def dispatched(self, key: Key, attempt_id: int) -> bool:
        """Pass the point of no return; if False, the request must not be sent.

        Call it before the first byte is handed to a transport.
        """
        record = self._records_by_text.get(key.text)
        allowed = record is not None and not self.closed and _may_dispatch(record)
        invariants.check("once.dispatched_at_most_once", allowed, key)
        if record is None or not allowed:
            return False
        record.state = KeyState.DISPATCHED
        record.attempt_id = attempt_id
        return True

    def retry(self, key: Key, proof: NotRunProof) -> bool:
        """Return a dispatched key to HELD, so that it may be dispatched again.

        False if the proof is of another attempt; then nothing changes.
        """
        record = self._records_by_text.get(key.text)
        if record is None or not _proves(proof, record):
            return False
        record.state = KeyState.HELD
        record.attempt_id = None
        return True

    def not_run(self, key: Key, proof: NotRunProof | None = None) -> NotRun | OutcomeUnknown:
        """Give the key up as not run, so that a repeat may run it.

        Allowed while nothing was dispatched, or with the proof of the last dispatch.
        """
        record = self._records_by_text.get(key.text)
        if record is None or record.state in SETTLED:
            return OutcomeUnknown()
        if record.state is KeyState.DISPATCHED and not _proves(proof, record):
            return self._unproved(record, proof)
        waiting = self._stop_waiting(record)
        if record.claimed:
            record.state = KeyState.FREE
            record.attempt_id = None
        else:
            self._forget(record)
        return release(waiting)

    def finished(self, key: Key, answer: KeptAnswer | None, now: float) -> tuple[str, ...]:
        """Record the whole answer, None if it is not to be kept; return every waiting caller."""
        record = self._settle(key, KeyState.FINISHED, now)
        if record is None:
            return ()
        if answer is not None:
            self._keep(record, answer)
        return self._stop_waiting(record)

    def lost(self, key: Key, now: float) -> tuple[str, ...]:
        """Record that the outcome is unknown; return every waiting caller."""
        record = self._settle(key, KeyState.UNKNOWN, now)
        return self._stop_waiting(record) if record else ()

    def leave(self, request_id: str) -> Key | None:
        """Stop counting a caller that has gone.

        Returns the key if it is still HELD and nobody waits for it: it may be given up by
        ``not_run``. A dispatched key runs to its end with or without callers.
        """
        text = self._texts_by_request.pop(request_id, None)
        record = self._records_by_text.get(text) if text else None
        if record is None:
            return None
        record.waiting.remove(request_id)
        idle = record.state is KeyState.HELD and not record.waiting
        return record.key if idle else None

    def close(self) -> None:
        """Accept and dispatch nothing more, so that what is remembered now is final."""
        self.closed = True

    def expire(self, now: float, wall: float) -> int:
        """Forget settled keys that have expired; return how many."""
        self._advance(now, wall)
        forgotten = 0
        while self._expiries and self._expiries[0][0] + self._skew <= self._time:
            expiry, text = heapq.heappop(self._expiries)
            record = self._records_by_text.get(text)
            if record is None or record.expiry != expiry or record.state not in SETTLED:
                continue
            self._forget(record)
            forgotten += 1
            if not record.key.is_foreign:
                self.forgotten_through = max(self.forgotten_through, expiry)
        return forgotten

    def _advance(self, now: float, wall: float) -> None:
        # A wall clock that steps back would make a forgotten key look unexpired: it would be
        # accepted as new and run a second time. So the memory's time never goes back, and while
        # the wall clock is behind it goes on by the monotonic clock.
        elapsed = max(0.0, now - self._now) if math.isfinite(self._now) else 0.0
        self._time = max(self._time + elapsed, wall)
        self._now = max(self._now, now)

    def _accept(self, key: Key, body_digest: bytes, request_id: str) -> Arrival:
        # Evicting an unexpired key to make room would let its repeat run again.
        if self.closed or len(self._records_by_text) >= self.capacity:
            return Full()
        expiry = float(key.expiry) if key.expiry is not None else self._time + self._lifetime
        record = KeyRecord(key, body_digest, expiry)
        self._records_by_text[key.text] = record
        self._plan_expiry(record)
        self._wait(record, request_id)
        return Fresh()

    def _repeat(self, record: KeyRecord, body_digest: bytes, request_id: str) -> Arrival:
        if record.body_digest != body_digest:
            return Reused()
        if record.state is KeyState.FINISHED:
            return Replay(record.answer)
        if record.state is KeyState.UNKNOWN:
            return Lost()
        if record.state is KeyState.FREE:
            if self.closed:
                return Full()
            record.state = KeyState.HELD
            self._wait(record, request_id)
            return Fresh(claimed=True)
        self._wait(record, request_id)
        return Joined()

    def _unproved(self, record: KeyRecord, proof: NotRunProof | None) -> OutcomeUnknown:
        if proof is not None:
            # A late proof of an earlier attempt: the attempt that runs now is not touched.
            return OutcomeUnknown()
        invariants.check("once.not_run_is_proved", False, record.key)
        record.state = KeyState.UNKNOWN
        return OutcomeUnknown(self._stop_waiting(record))

    def _settle(self, key: Key, state: KeyState, now: float) -> KeyRecord | None:
        record = self._records_by_text.get(key.text)
        if record is None or record.state is not KeyState.DISPATCHED:
            return None
        record.state = state
        # Its place in the order of expiries is gone if it outlived its expiry while running.
        if record.expiry + self._skew <= self._time + max(0.0, now - self._now):
            self._plan_expiry(record)
        return record

    def _plan_expiry(self, record: KeyRecord) -> None:
        heapq.heappush(self._expiries, (record.expiry, record.key.text))
        # Keys given up as not run leave their places behind; under a flood of refused requests
        # these alone would outgrow the memory.
        if len(self._expiries) > 2 * len(self._records_by_text) + SPARE_EXPIRIES:
            self._expiries = [(r.expiry, r.key.text) for r in self._records_by_text.values()]
            heapq.heapify(self._expiries)

    def _wait(self, record: KeyRecord, request_id: str) -> None:
        record.waiting.append(request_id)
        self._texts_by_request[request_id] = record.key.text

    def _stop_waiting(self, record: KeyRecord) -> tuple[str, ...]:
        waiting = tuple(record.waiting)
        record.waiting.clear()
        for request_id in waiting:
            self._texts_by_request.pop(request_id, None)
        return waiting

    def _keep(self, record: KeyRecord, answer: KeptAnswer) -> None:
        record.answer = answer
        self._answer_sizes_by_text[record.key.text] = answer.size
        self._answer_bytes_used += answer.size
        while self._answer_bytes_used > self.answer_bytes:
            self._drop_answer(next(iter(self._answer_sizes_by_text)))

    def _drop_answer(self, text: str) -> None:
        self._answer_bytes_used -= self._answer_sizes_by_text.pop(text, 0)
        self._records_by_text[text].answer = None

    def _forget(self, record: KeyRecord) -> None:
        self._drop_answer(record.key.text)
        del self._records_by_text[record.key.text]


def _may_dispatch(record: KeyRecord) -> bool:
    return record.state is KeyState.HELD and (record.claimed or not record.key.is_foreign)


def _proves(proof: NotRunProof | None, record: KeyRecord) -> bool:
    if proof is None or record.state is not KeyState.DISPATCHED:
        return False
    return proof.attempt_id == record.attempt_id
