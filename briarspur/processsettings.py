"""Settings that all processes share."""

from typing import Annotated

from pydantic import Field

from briarspur.documents import Document

__all__ = ["Host", "LoggedSettings", "PlatformSettings", "Port"]

Host = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:]+$", description="an IP address")]
Port = Annotated[int, Field(ge=0, le=65535)]


class PlatformSettings(Document):
    """Address of the platform's object API and VM list, and timeouts of its connections.

    Attributes
    ----------
    idle_s : float
        Seconds after which an idle connection is closed. This must be shorter than the idle timeout
        of the platform: the outcome of a write is unclear if the platform closes the connection
        at the same time.
    """

    host: Host
    port: Port
    timeout_s: float = Field(default=2.0, gt=0.0, le=60.0)
    idle_s: float = Field(default=20.0, gt=0.0, le=600.0)


class LoggedSettings(Document):
    """Base of the settings of every process."""

    log_level: str = Field(default="INFO", pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")
