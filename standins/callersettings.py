"""Settings of the stand-in caller."""

from typing import Literal

from pydantic import Field

from briarspur.documents import Document
from standins.targetmodel import Delays

__all__ = ["Address", "CallerSettings", "Load"]


class Address(Document):
    """Address at which an entry accepts callers."""

    host: str
    port: int


class Load(Document):
    """One class of load, with arrivals that don't wait for earlier calls."""

    name: str
    service: str
    path: str = Field(description="path to which each request adds its own query")
    method: Literal["GET", "POST"] = "GET"
    per_s: float = Field(gt=0.0, description="mean arrivals a second")
    keyed: bool = Field(default=False, description="sends an Idempotency-Key")
    foreign_share: float = Field(
        default=0.0, ge=0.0, le=1.0, description="share of keys that no look-up handed out"
    )
    download_bytes: int = Field(default=0, ge=0)
    patience_s: float = Field(default=10.0, gt=0.0, description="timeout for the final answer")
    attempt_s: float = Field(
        default=30.0, gt=0.0, description="timeout for the answer of one entry"
    )
    repeats: int = Field(default=4, ge=0)
    after_s: float = Field(
        default=0.0, ge=0.0, description="time from the start to the first arrivals"
    )
    most: int = Field(default=1_000_000, ge=1, description="maximum number of requests")


class CallerSettings(Document):
    """Settings of a process that hosts the callers of one region."""

    name: str
    region: str
    hosts: list[str] = Field(min_length=1, description="source addresses, chosen at random")
    seed: int = 1
    seconds: float = Field(gt=0.0)
    entries: list[Address] = Field(
        min_length=1, description="entries for look-ups, in random order"
    )
    delays: Delays = Delays()
    loads: list[Load]
    report: str = Field(description="path of the report that is written at the end")
