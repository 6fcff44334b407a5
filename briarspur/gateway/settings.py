"""Settings of the gateway process."""

import math

from pydantic import ConfigDict, Field

from briarspur.documents import Document
from briarspur.processsettings import LoggedSettings

__all__ = ["BoundSettings", "GatewaySettings", "StoreSettings"]


class StoreSettings(Document):
    """Connection to the platform's object store.

    Attributes
    ----------
    idle_s : float
        Seconds for which an idle connection is kept. A connection may be lost silently, and the
        next call on it hangs until its timeout: an entry that queried the store after a long idle
        time learned 1.5 s late that a backend server had left. A loss within 2 s is part of the
        disturbance itself, and entries count as disturbed for 3 s and longer.
    """

    address: str = Field(pattern=r"^[0-9.]+:\d{1,5}$")
    timeout_s: float = Field(default=1.0, gt=0.0, le=60.0)
    idle_s: float = Field(default=2.0, gt=0.0, le=60.0)


class BoundSettings(Document):
    """Limits of the deployment; the unit is part of each name."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=False)

    grace_s: float = Field(default=6.0, gt=0.5)
    retry_ratio: float = Field(default=0.2, ge=0.0)
    retry_window_s: float = Field(default=10.0, gt=0.0)
    retry_slack: float = Field(default=60.0, ge=0.0)
    lookup_ttl_s: float = Field(default=5.0, gt=0.0)
    drain_ms: float = Field(default=2_500.0, gt=0.0)
    configuration_ms: float = Field(default=2_500.0, gt=0.0)
    evacuation_ms: float = Field(default=5_000.0, gt=0.0)
    strict_revoke: bool = False
    revoke_ms: float = Field(default=5_000.0, gt=0.0)
    quota_window_s: float = Field(default=5.0, gt=0.0)
    quota_overage: float = Field(default=0.0, ge=0.0)
    quota_slack: float = Field(default=0.0, ge=0.0)

    @property
    def has_quotas(self) -> bool:
        """Whether the deployment's customers have quotas."""
        return "quota_window_s" in self.model_fields_set

    @property
    def configuration_s(self) -> float:
        """Seconds after its acknowledgement within which a configuration must take effect."""
        return self.configuration_ms / 1_000.0

    @property
    def revoke_after_s(self) -> float:
        """Seconds without confirmation by the store after which no API key is accepted."""
        return self.revoke_ms / 1_000.0 if self.strict_revoke else math.inf

    @property
    def in_force_s(self) -> float:
        """Seconds after its acknowledgement within which any change must take effect."""
        return min(self.drain_ms, self.configuration_ms, self.evacuation_ms) / 1_000.0


class GatewaySettings(LoggedSettings):
    """Settings of one gateway process.

    Attributes
    ----------
    peer_address : str
        Address for calls from other entries; empty if it accepts none.
    news_ports : str
        First and last port available for datagrams between entries, separated by a comma.
    processor_share, cores : float
        The VM's processor: a share of a processor that is ``cores`` times as fast as one core.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s.
    seeds : list of str
        Addresses of other entries to call when the store does not respond.
    """

    model_config = ConfigDict(extra="ignore", frozen=True, strict=False)

    entry_id: str = Field(min_length=1)
    host: str = Field(pattern=r"^[0-9.]+$")
    zone: str = Field(min_length=1)
    zone_regions: dict[str, str]
    caller_address: str
    ready_address: str = ""
    lookup_address: str = ""
    peer_address: str = ""
    news_ports: str = ""
    metrics_port: int = 0
    seeds: str = ""
    processor_share: float = Field(default=1.0, gt=0.0)
    cores: float = Field(default=1.0, gt=0.0)
    link_mbps: float = Field(default=1_000.0, gt=0.0)
    memory_mb: float = Field(default=300.0, gt=0.0)
    descriptors: int = Field(default=4096, gt=300)
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()

    @property
    def region(self) -> str:
        """The region of this entry's zone."""
        return self.zone_regions.get(self.zone, "")
