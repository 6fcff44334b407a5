"""Settings files of the product's programs, in JSON."""

from typing import Annotated

from pydantic import Field

from briarspur.documents import Document
from briarspur.limitsettings import LimitSettings
from briarspur.processsettings import Host, LoggedSettings, PlatformSettings, Port

__all__ = [
    "BurnSettings",
    "CliSettings",
    "ConsoleSettings",
    "EntrySettings",
    "StatsdSettings",
    "SteerSettings",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class StatsdSettings(Document):
    """Address of the StatsD server that receives metrics over UDP."""

    host: Host = "127.0.0.1"
    port: Port = 8125
    prefix: str = Field(default="briarspur", pattern=r"^[a-z0-9_.-]*$")


class DaemonSettings(LoggedSettings):
    """Settings common to all daemons."""

    platform: PlatformSettings
    statsd: StatsdSettings | None = None


class EntrySettings(DaemonSettings):
    """Settings of ``briarspur-entry``."""

    entry_id: Name
    zone: Name
    host: Host
    caller_port: Port
    forward_port: Port
    peer_port: Port
    limits: LimitSettings = LimitSettings()
    probe_interval_s: float = Field(default=1.0, ge=0.05, le=60.0)
    drain_grace_s: float = Field(
        default=0.0,
        ge=0.0,
        le=3_600.0,
        description="time to keep serving after cached look-ups expired",
    )
    store_copy_age_s: float = Field(
        default=30.0,
        ge=0.0,
        le=3_600.0,
        description="maximum age of the copy that the platform's store may return from",
    )
    seed: int | None = Field(default=None, description="for reproducible tests only")


class SteerSettings(DaemonSettings):
    """Settings of ``briarspur-steer``."""

    holder_id: Name
    zone: Name
    host: Host
    status_port: Port
    lease_s: float = Field(default=6.0, ge=0.5, le=600.0)
    plan_interval_s: float = Field(default=2.0, ge=0.1, le=600.0)


class ConsoleSettings(DaemonSettings):
    """Settings of ``briarspur-console``."""

    host: Host = "127.0.0.1"
    port: Port = 8088
    token_file: str = Field(min_length=1, description="file with the operator's token")
    form_bytes: int = Field(default=1_048_576, ge=1_024, le=16_777_216)


class BurnSettings(DaemonSettings):
    """Settings of ``briarspur-burn``."""

    host: Host = "127.0.0.1"
    status_port: Port = Field(default=0, description="0: any free port, which is logged")


class CliSettings(DaemonSettings):
    """Settings of the command ``briarspur``."""
