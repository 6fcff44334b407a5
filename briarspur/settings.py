"""Settings of the programs, as JSON files."""

from typing import Annotated

from pydantic import Field

from briarspur.documents import Document

__all__ = [
    "BurnSettings",
    "CliSettings",
    "ConsoleSettings",
    "EntrySettings",
    "LimitSettings",
    "LoggedSettings",
    "PlatformSettings",
    "StatsdSettings",
    "SteerSettings",
]

Host = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+$", description="an IP number")]
Port = Annotated[int, Field(ge=0, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class PlatformSettings(Document):
    """Where the platform's object API and VM list are.

    Attributes
    ----------
    idle_s : float
        Seconds for which an unused connection is kept. It must be closed before the platform closes
        it: a write on a connection that the other side is just closing would be unclear.
    """

    host: Host
    port: Port
    timeout_s: float = Field(default=2.0, gt=0.0, le=60.0)
    idle_s: float = Field(default=20.0, gt=0.0, le=600.0)


class StatsdSettings(Document):
    """Where metrics go, over UDP."""

    host: Host = "127.0.0.1"
    port: Port = 8125
    prefix: str = Field(default="briarspur", pattern=r"^[a-z0-9_.-]*$")


class LimitSettings(Document):
    """Bounds on what one caller may cost an entry."""

    header_bytes: int = Field(default=16_384, ge=1_024, le=1_048_576)
    body_bytes: int = Field(default=1_048_576, ge=1_024, le=67_108_864)
    receive_s: float = Field(default=10.0, ge=0.1, le=600.0, description="for a whole request")
    callers: int = Field(default=10_000, ge=1, le=1_000_000, description="open connections")
    queued: int = Field(default=200, ge=0, le=100_000, description="requests that wait for a slot")
    remembered_keys: int = Field(default=50_000, ge=10, le=10_000_000)
    remembered_answer_bytes: int = Field(default=16_384, ge=0, le=1_048_576)


class LoggedSettings(Document):
    """What the settings of every process have."""

    log_level: str = Field(default="INFO", pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")


class DaemonSettings(LoggedSettings):
    """What every daemon of the product's own deployments needs."""

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
        default=0.0, ge=0.0, le=3_600.0, description="serve on after the cached look-ups lapsed"
    )
    seed: int | None = Field(default=None, description="for repeatable trials only")


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
    status_port: Port = Field(default=0, description="0: any free port, named in the log")


class CliSettings(DaemonSettings):
    """Settings of the command line ``briarspur``."""
