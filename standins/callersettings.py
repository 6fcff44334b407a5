"""Settings of the stand-in caller."""

from typing import Literal

from pydantic import Field

from briarspur.documents import Document
from standins.targetmodel import Delays

__all__ = ["Address", "CallerSettings", "Load"]


class Address(Document):
    """Where an entry takes callers."""

    host: str
    port: int


class Load(Document):
    """One class of load, with open-loop arrivals."""

    name: str
    service: str
    path: str = Field(description="below it each request gets a query of its own")
    method: Literal["GET", "POST"] = "GET"
    per_s: float = Field(gt=0.0, description="mean arrivals a second")
    keyed: bool = Field(default=False, description="sends an Idempotency-Key")
    foreign_share: float = Field(default=0.0, ge=0.0, le=1.0, description="keys of its own making")
    download_bytes: int = Field(default=0, ge=0)
    patience_s: float = Field(default=10.0, gt=0.0, description="for the final answer")
    attempt_s: float = Field(default=30.0, gt=0.0, description="for one entry's answer")
    repeats: int = Field(default=4, ge=0)
    after_s: float = Field(default=0.0, ge=0.0, description="begins that long after the start")
    most: int = Field(default=1_000_000, ge=1, description="requests in all")


class CallerSettings(Document):
    """A process of callers in one region."""

    name: str
    region: str
    hosts: list[str] = Field(min_length=1, description="addresses it sends from, in turn")
    seed: int = 1
    seconds: float = Field(gt=0.0)
    entries: list[Address] = Field(min_length=1, description="asked for look-ups, in turn")
    delays: Delays = Delays()
    loads: list[Load]
    report: str = Field(description="file for the report, written at the end")
