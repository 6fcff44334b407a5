"""Limits on the resources that a caller may use at an entry."""

from pydantic import Field

from briarspur.documents import Document

__all__ = ["LimitSettings"]


class LimitSettings(Document):
    """Limits on the resources that a caller may use at an entry."""

    header_bytes: int = Field(default=16_384, ge=1_024, le=1_048_576)
    body_bytes: int = Field(default=1_048_576, ge=1_024, le=67_108_864)
    receive_s: float = Field(
        default=10.0, ge=0.1, le=600.0, description="time to receive a complete request"
    )
    callers: int = Field(default=10_000, ge=1, le=1_000_000, description="open connections")
    queued: int = Field(default=200, ge=0, le=100_000, description="requests waiting for a slot")
    remembered_keys: int = Field(default=50_000, ge=10, le=10_000_000)
    remembered_answer_bytes: int = Field(default=16_384, ge=0, le=1_048_576)
