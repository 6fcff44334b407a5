"""Outcomes that an incarnation writes to the object store on a planned stop.

Other entries answer repeats that arrive after the stop from these outcomes. Readers never dispatch.
The outcomes are split into pages by the digest of the key, because an object can hold at most one
megabyte; each page contains the number of pages.
"""

import base64
import json
from dataclasses import dataclass
from typing import Any

from briarspur.coord.keys import Key
from briarspur.coord.keystates import KeptAnswer, KeyRecord, KeyState
from briarspur.coord.once import KeyMemory

__all__ = [
    "FinishedOutcome",
    "ForgottenOutcome",
    "NeverRun",
    "Outcome",
    "OutcomePage",
    "UnknownOutcome",
    "OnOtherPage",
    "close_and_export",
    "page_name",
    "read_outcome",
]

TARGET_PAGE_BYTES = 700_000
ESTIMATED_KEY_BYTES = 200


@dataclass(frozen=True, slots=True)
class OutcomePage:
    """One object to write; it must be created, since an incarnation stops only once."""

    name: str
    value: bytes


@dataclass(frozen=True, slots=True)
class FinishedOutcome:
    """The key finished; ``answer`` is None if it was not stored."""

    body_digest: bytes
    answer: KeptAnswer | None


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The key was dispatched and its outcome is unknown."""

    body_digest: bytes


@dataclass(frozen=True, slots=True)
class NeverRun:
    """The key never ran: its home, which alone could dispatch it, stopped without doing so."""


@dataclass(frozen=True, slots=True)
class ForgottenOutcome:
    """The record of the key may have been removed before the stop; the key may have run."""


@dataclass(frozen=True, slots=True)
class OnOtherPage:
    """The outcome is on another page."""

    name: str


Outcome = FinishedOutcome | UnknownOutcome | NeverRun | ForgottenOutcome | OnOtherPage


def page_name(incarnation: str, number: int = 0) -> str:
    """Return the name of a page; readers start with page 0."""
    name = f"outcomes/{incarnation}"
    return f"{name}/{number}" if number else name


def close_and_export(memory: KeyMemory, page_bytes: int = TARGET_PAGE_BYTES) -> list[OutcomePage]:
    """Close the memory and return the pages that a planned stop writes, page 0 last.

    Page 0 is written last so that a reader that finds it also finds the others.
    """
    # A key that is not in the pages is reported as never run. This is true only if nothing is
    # dispatched from now on, so the memory is closed first.
    memory.close()
    records = [record for record in memory.records() if _may_have_run(record)]
    total_bytes = sum(
        ESTIMATED_KEY_BYTES + (record.answer.size * 2 if record.answer else 0) for record in records
    )
    page_count = total_bytes // page_bytes + 1
    keys_by_page: dict[int, dict[str, Any]] = {number: {} for number in range(page_count)}
    for record in records:
        keys_by_page[_page_number(record.key, page_count)][record.key.digest] = _encode_record(
            record
        )
    forgotten_through = memory.forgotten_through if memory.forgotten_through > 0 else 0
    return [
        OutcomePage(
            page_name(memory.incarnation, number),
            _encode_page(
                {
                    "incarnation": memory.incarnation,
                    "at": memory.unix_time,
                    "pages": page_count,
                    "page": number,
                    "forgotten_through": forgotten_through,
                    "keys": keys,
                }
            ),
        )
        for number, keys in sorted(keys_by_page.items(), reverse=True)
    ]


def read_outcome(value: bytes, key: Key) -> Outcome:
    """Return the outcome of a key from a page.

    Parameters
    ----------
    value : bytes
        A page of the key's home incarnation; read page 0 first.
    key : Key
        A key whose home is that incarnation; the home of a foreign key is the holder of its claim.
    """
    page = json.loads(value)
    number = _page_number(key, page["pages"])
    if number != page["page"]:
        return OnOtherPage(page_name(page["incarnation"], number))
    entry = page["keys"].get(key.digest)
    if entry is not None:
        return _decode_entry(entry)
    # The home removed expired keys according to its own clock. A reader whose clock is behind would
    # report such a key as never run, and its caller would book again.
    if key.expiry is None or key.expiry <= page["forgotten_through"]:
        return ForgottenOutcome()
    return NeverRun()


def _may_have_run(record: KeyRecord) -> bool:
    return record.state in (KeyState.DISPATCHED, KeyState.FINISHED, KeyState.UNKNOWN)


def _page_number(key: Key, page_count: int) -> int:
    return int(key.digest[:8], 16) % page_count


def _encode_page(page: dict[str, Any]) -> bytes:
    return json.dumps(page, separators=(",", ":")).encode()


def _encode_record(record: KeyRecord) -> dict[str, Any]:
    entry: dict[str, Any] = {"digest": record.body_digest.hex()}
    if record.state is not KeyState.FINISHED:
        entry["unknown"] = True
    if record.answer is not None:
        entry["status"] = record.answer.status
        entry["headers"] = [
            [_header_to_str(name), _header_to_str(value)] for name, value in record.answer.headers
        ]
        entry["body"] = base64.b64encode(record.answer.body).decode()
    return entry


def _decode_entry(entry: dict[str, Any]) -> Outcome:
    digest = bytes.fromhex(entry["digest"])
    if entry.get("unknown"):
        return UnknownOutcome(digest)
    if "status" not in entry:
        return FinishedOutcome(digest, None)
    headers = tuple(
        (_header_to_bytes(name), _header_to_bytes(value)) for name, value in entry["headers"]
    )
    answer = KeptAnswer(entry["status"], headers, base64.b64decode(entry["body"]))
    return FinishedOutcome(digest, answer)


def _header_to_str(header: bytes) -> str:
    return header.decode("latin-1")


def _header_to_bytes(header: str) -> bytes:
    return header.encode("latin-1")
