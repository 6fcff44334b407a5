"""At-most-once execution: the idempotency keys that one incarnation of an entry remembers.

A key is dispatched at most once unless there is proof that the dispatch did not run the request.
A key is removed only after it has expired, and expired keys are refused, so removal is safe. This
module does no I/O. ``now`` is in monotonic seconds, ``wall`` in unix seconds.
"""

import heapq
import math
from collections import OrderedDict
from collections.abc import Iterator

from briarspur.coord.invariants import invariants
from briarspur.coord.keys import Key, KeyFault, make_prefix, parse_key
from briarspur.coord.keystates import (
    SETTLED_STATES,
    AdmitResult,
    Expired,
    Fresh,
    Joined,
    KeptAnswer,
    KeyRecord,
    KeyReused,
    KeyState,
    MemoryFull,
    NotHome,
    NotIssued,
    OutcomeLost,
    Replay,
)
from briarspur.coord.proofs import NotRun, NotRunProof, OutcomeUnknown, build_not_run

__all__ = [
    "AdmitResult",
    "Expired",
    "Fresh",
    "MemoryFull",
    "Joined",
    "KeptAnswer",
    "Key",
    "KeyFault",
    "KeyMemory",
    "KeyRecord",
    "KeyState",
    "OutcomeLost",
    "NotHome",
    "NotIssued",
    "NotRun",
    "NotRunProof",
    "OutcomeUnknown",
    "Replay",
    "KeyReused",
    "make_prefix",
    "parse_key",
]

DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024
SPARE_EXPIRY_ENTRIES = 64


class KeyMemory:
    """Records the idempotency keys of one entry incarnation.

    Parameters
    ----------
    incarnation : str
        16 random hex digits, different for each process.
    capacity : int
        Maximum number of keys. When full, new keys are refused; unexpired keys are never evicted.
    lifetime : float
        Seconds from the issue of a key prefix to its expiry.
    skew : float
        Maximum difference between the clocks of two entries, in seconds: a key is remembered this
        much longer than it is accepted, and a key that expires later than ``lifetime + skew`` is
        refused.
    max_answer_bytes : int
        Maximum total size of the stored answers. Above it the oldest answers are dropped, but
        never their keys.
    """

    def __init__(
        self,
        incarnation: str,
        capacity: int,
        lifetime: float,
        skew: float,
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
    ) -> None:
        self.incarnation = incarnation
        self.capacity = capacity
        self.max_answer_bytes = max_answer_bytes
        self.forgotten_through = -math.inf
        self.closed = False
        self._lifetime = lifetime
        self._max_lifetime = lifetime
        self._skew = skew
        self._monotonic_time = -math.inf
        self._unix_time = -math.inf
        self._records_by_text: dict[str, KeyRecord] = {}
        self._key_texts_by_request_id: dict[str, str] = {}
        self._expiries: list[tuple[float, str]] = []
        self._answer_sizes_by_text: OrderedDict[str, int] = OrderedDict()
        self._answer_bytes_used = 0

    def __len__(self) -> int:
        return len(self._records_by_text)

    @property
    def unix_time(self) -> float:
        """Latest unix time in seconds; it never decreases and is 0 before the first update."""
        return max(self._unix_time, 0.0)

    @property
    def retention(self) -> float:
        """Seconds after its first request until a foreign key is certainly forgotten."""
        return self._max_lifetime + self._skew

    def records(self) -> Iterator[KeyRecord]:
        """Yield all records, oldest first."""
        yield from self._records_by_text.values()

    def state(self, key: Key) -> KeyState | None:
        """Return the state of a key, or None if the key is not recorded."""
        record = self._records_by_text.get(key.text)
        return record.state if record else None

    def issue_prefix(self, now: float, wall: float) -> str:
        """Return the key prefix for a look-up that is answered now."""
        self._advance_time(now, wall)
        return make_prefix(self.incarnation, math.floor(self._unix_time + self._lifetime))

    def set_lifetime(self, lifetime: float) -> None:
        """Set the lifetime of prefixes issued from now on."""
        self._lifetime = lifetime
        self._max_lifetime = max(self._max_lifetime, lifetime)

    def admit_request(
        self, key: Key, body_digest: bytes, request_id: str, now: float, wall: float
    ) -> AdmitResult:
        """Decide how to handle a request that carries ``key``, and record the key if it is new."""
        if key.incarnation is not None and key.incarnation != self.incarnation:
            return NotHome(key.incarnation)
        self.expire(now, wall)
        if key.expiry is not None and key.expiry <= self._unix_time:
            return Expired()
        if (
            key.expiry is not None
            and key.expiry > self._unix_time + self._max_lifetime + self._skew
        ):
            # A key with a forged expiry in the far future would stay recorded until then; a few
            # thousand such keys would make the entry refuse every valid one.
            return NotIssued()
        record = self._records_by_text.get(key.text)
        if record is None:
            return self._add_record(key, body_digest, request_id)
        return self._admit_repeat(record, body_digest, request_id)

    def mark_claimed(self, key: Key) -> None:
        """Record that this entry holds the claim of a foreign key."""
        self._records_by_text[key.text].claimed = True

    def mark_dispatched(self, key: Key, attempt_id: int) -> bool:
        """Record that the request is about to be sent; if False, it must not be sent.

        Call this before the first byte is passed to a transport.
        """
        record = self._records_by_text.get(key.text)
        allowed = record is not None and not self.closed and _may_dispatch(record)
        invariants.check("once.dispatched_at_most_once", allowed, key)
        if record is None or not allowed:
            return False
        record.state = KeyState.DISPATCHED
        record.attempt_id = attempt_id
        return True

    def allow_retry(self, key: Key, proof: NotRunProof) -> bool:
        """Return a dispatched key to HELD, so that it may be dispatched again.

        Returns False and changes nothing if the proof belongs to another attempt.
        """
        record = self._records_by_text.get(key.text)
        if record is None or not _proves(proof, record):
            return False
        record.state = KeyState.HELD
        record.attempt_id = None
        return True

    def mark_not_run(self, key: Key, proof: NotRunProof | None = None) -> NotRun | OutcomeUnknown:
        """Record that the key was not run, so that a repeat may run it.

        Allowed if the key was never dispatched, or with proof for its latest dispatch.
        """
        record = self._records_by_text.get(key.text)
        if record is None or record.state in SETTLED_STATES:
            return OutcomeUnknown()
        if record.state is KeyState.DISPATCHED and not _proves(proof, record):
            return self._reject_unproved(record, proof)
        waiting = self._release_waiting(record)
        if record.claimed:
            record.state = KeyState.FREE
            record.attempt_id = None
        else:
            self._forget(record)
        return build_not_run(waiting)

    def mark_finished(self, key: Key, answer: KeptAnswer | None, now: float) -> tuple[str, ...]:
        """Record that the key finished, and return the ids of all waiting requests.

        ``answer`` is the complete answer, or None if it is not to be stored.
        """
        record = self._settle(key, KeyState.FINISHED, now)
        if record is None:
            return ()
        if answer is not None:
            self._keep_answer(record, answer)
        return self._release_waiting(record)

    def mark_lost(self, key: Key, now: float) -> tuple[str, ...]:
        """Record that the outcome is unknown; return the ids of all waiting requests."""
        record = self._settle(key, KeyState.UNKNOWN, now)
        return self._release_waiting(record) if record else ()

    def remove_caller(self, request_id: str) -> Key | None:
        """Remove a caller that has disconnected.

        Returns the key if it is still HELD and has no other caller; :meth:`mark_not_run` may then
        be called for it. A dispatched key runs to completion with or without callers.
        """
        text = self._key_texts_by_request_id.pop(request_id, None)
        record = self._records_by_text.get(text) if text else None
        if record is None:
            return None
        record.waiting.remove(request_id)
        unused = record.state is KeyState.HELD and not record.waiting
        return record.key if unused else None

    def close(self) -> None:
        """Stop accepting and dispatching keys, so that the recorded outcomes are final."""
        self.closed = True

    def expire(self, now: float, wall: float) -> int:
        """Remove settled keys that have expired; return their number."""
        self._advance_time(now, wall)
        count = 0
        while self._expiries and self._expiries[0][0] + self._skew <= self._unix_time:
            expiry, text = heapq.heappop(self._expiries)
            record = self._records_by_text.get(text)
            if record is None or record.expiry != expiry or record.state not in SETTLED_STATES:
                continue
            self._forget(record)
            count += 1
            if not record.key.is_foreign:
                self.forgotten_through = max(self.forgotten_through, expiry)
        return count

    def _advance_time(self, now: float, wall: float) -> None:
        # If the wall clock stepped back, a removed key would seem unexpired: it would be accepted
        # as new and run a second time. So this time never decreases, and while the wall clock is
        # behind it, it advances with the monotonic clock.
        elapsed = (
            max(0.0, now - self._monotonic_time) if math.isfinite(self._monotonic_time) else 0.0
        )
        self._unix_time = max(self._unix_time + elapsed, wall)
        self._monotonic_time = max(self._monotonic_time, now)

    def _add_record(self, key: Key, body_digest: bytes, request_id: str) -> AdmitResult:
        # If an unexpired key were evicted to make room, a repeat of it would run again.
        if self.closed or len(self._records_by_text) >= self.capacity:
            return MemoryFull()
        expiry = float(key.expiry) if key.expiry is not None else self._unix_time + self._lifetime
        record = KeyRecord(key, body_digest, expiry)
        self._records_by_text[key.text] = record
        self._schedule_expiry(record)
        self._add_waiting(record, request_id)
        return Fresh()

    def _admit_repeat(self, record: KeyRecord, body_digest: bytes, request_id: str) -> AdmitResult:
        if record.body_digest != body_digest:
            return KeyReused()
        if record.state is KeyState.FINISHED:
            return Replay(record.answer)
        if record.state is KeyState.UNKNOWN:
            return OutcomeLost()
        if record.state is KeyState.FREE:
            if self.closed:
                return MemoryFull()
            record.state = KeyState.HELD
            self._add_waiting(record, request_id)
            return Fresh(claimed=True)
        self._add_waiting(record, request_id)
        return Joined()

    def _reject_unproved(self, record: KeyRecord, proof: NotRunProof | None) -> OutcomeUnknown:
        if proof is not None:
            # The proof belongs to an earlier attempt and says nothing about the current one.
            return OutcomeUnknown()
        invariants.check("once.not_run_is_proved", False, record.key)
        record.state = KeyState.UNKNOWN
        return OutcomeUnknown(self._release_waiting(record))

    def _settle(self, key: Key, state: KeyState, now: float) -> KeyRecord | None:
        record = self._records_by_text.get(key.text)
        if record is None or record.state is not KeyState.DISPATCHED:
            return None
        record.state = state
        # If the key expired while it was running, ``expire`` has already removed its heap entry.
        if record.expiry + self._skew <= self._unix_time + max(0.0, now - self._monotonic_time):
            self._schedule_expiry(record)
        return record

    def _schedule_expiry(self, record: KeyRecord) -> None:
        heapq.heappush(self._expiries, (record.expiry, record.key.text))
        # Keys that were not run leave stale entries in the heap. During a flood of refused
        # requests these alone would take more space than the records.
        if len(self._expiries) > 2 * len(self._records_by_text) + SPARE_EXPIRY_ENTRIES:
            self._expiries = [(r.expiry, r.key.text) for r in self._records_by_text.values()]
            heapq.heapify(self._expiries)

    def _add_waiting(self, record: KeyRecord, request_id: str) -> None:
        record.waiting.append(request_id)
        self._key_texts_by_request_id[request_id] = record.key.text

    def _release_waiting(self, record: KeyRecord) -> tuple[str, ...]:
        waiting = tuple(record.waiting)
        record.waiting.clear()
        for request_id in waiting:
            self._key_texts_by_request_id.pop(request_id, None)
        return waiting

    def _keep_answer(self, record: KeyRecord, answer: KeptAnswer) -> None:
        record.answer = answer
        self._answer_sizes_by_text[record.key.text] = answer.size
        self._answer_bytes_used += answer.size
        while self._answer_bytes_used > self.max_answer_bytes:
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
