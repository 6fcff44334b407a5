"""Settings that every process has."""

from typing import Annotated

from pydantic import Field

from briarspur.documents import Document

__all__ = ["Host", "LoggedSettings", "PlatformSettings", "Port"]

Host = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+$", description="an IP number")]
Port = Annotated[int, Field(ge=0, le=65535)]


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


class LoggedSettings(Document):
    """What the settings of every process have."""

    log_level: str = Field(default="INFO", pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")
