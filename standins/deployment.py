"""A deployment that is built from example files, with their ports replaced by free ones."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import Field

from briarspur.documents import Document, parse
from briarspur.objects import Vm, VmState
from briarspur.policy import PolicyDocument, parse_policy
from standins.callersettings import Address, CallerSettings, Load
from standins.ports import free_port
from standins.targetmodel import BackendSettings, Delays, ServiceTime, TargetSettings

__all__ = ["EXAMPLES", "Deployment", "StandinSettings"]

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
PORT_FIELDS = ("port", "caller_port", "forward_port", "peer_port", "status_port")


class StandinSettings(Document):
    """Settings of the stand-ins of a deployment."""

    delays: Delays
    times_by_service: dict[str, ServiceTime]
    caller_networks_by_region: dict[str, str] = Field(description="first two bytes of addresses")
    caller_blocks: int = Field(
        default=24, ge=1, le=255, description="number of /24 blocks per region"
    )
    loads: list[Load]
    warm: bool = Field(default=True, description="whether targets start warm")


class PortMap:
    """Maps each (host, port) of the example files to a free port of the host."""

    def __init__(self) -> None:
        self._port_by_address: dict[tuple[str, int], int] = {}

    def port(self, host: str, port: int) -> int:
        """Return the free port that replaces ``port``; repeated calls return the same one."""
        address = (host, port)
        if address not in self._port_by_address:
            self._port_by_address[address] = free_port(host)
        return self._port_by_address[address]

    def replace(self, document: Any) -> Any:
        """Return a JSON document with its ports replaced by free ones."""
        if isinstance(document, list):
            return [self.replace(item) for item in document]
        if not isinstance(document, dict):
            return document
        replaced = {name: self.replace(value) for name, value in document.items()}
        host = document.get("host")
        for name in PORT_FIELDS:
            if host is not None and name in document:
                replaced[name] = self.port(host, document[name])
        return replaced


@dataclass(frozen=True, slots=True)
class Deployment:
    """All documents of one deployment, which are written to ``folder`` with free ports.

    Attributes
    ----------
    documents_by_name : dict of str to dict
        The files of the example by name without suffix, with their ports replaced.
    """

    folder: Path
    documents_by_name: dict[str, dict[str, Any]]
    standins: StandinSettings

    @classmethod
    def load(cls, name: str, folder: Path) -> "Deployment":
        """Read the example ``name`` and write its files to ``folder``, with free ports."""
        files = sorted((EXAMPLES / name).glob("*.json"))
        documents = {file.stem: json.loads(file.read_text()) for file in files}
        return cls.build(documents, folder)

    @classmethod
    def build(cls, documents_by_name: dict[str, dict[str, Any]], folder: Path) -> "Deployment":
        """Write documents to ``folder``, with free ports; "standins" is kept only in memory."""
        ports = PortMap()
        standins = parse(
            StandinSettings, json.dumps(documents_by_name["standins"]), "standins.json"
        )
        documents = {
            stem: ports.replace(document)
            for stem, document in documents_by_name.items()
            if stem != "standins"
        }
        deployment = cls(folder, documents, standins)
        for stem, document in documents.items():
            deployment.write(stem, document)
        return deployment

    def write(self, stem: str, document: dict[str, Any]) -> Path:
        """Write a settings file; return its path."""
        path = self.folder / f"{stem}.json"
        path.write_text(json.dumps(document, indent=2))
        return path

    def policy(self) -> PolicyDocument:
        """Return the parsed and validated policy."""
        return parse_policy(json.dumps(self.documents_by_name["policy"]))

    def names(self, prefix: str) -> list[str]:
        """Return the names of documents that start with ``prefix``, sorted by their numbers."""
        found = [name for name in self.documents_by_name if name.startswith(prefix)]
        return sorted(found, key=lambda name: int(name.rpartition("-")[2]))

    def address(self, entry_id: str) -> Address:
        """Return the address at which an entry accepts callers."""
        settings = self.documents_by_name[entry_id]
        return Address(host=settings["host"], port=settings["caller_port"])

    def vms(self) -> list[Vm]:
        """Return the VM list, with every entry in the live state."""
        found = []
        for name in self.names("entry-"):
            s = self.documents_by_name[name]
            ports = (s["caller_port"], s["forward_port"], s["peer_port"])
            found.append(Vm(s["entry_id"], s["host"], s["zone"], VmState.LIVE, *ports))
        return found

    def backends(self, seed: int) -> dict[str, BackendSettings]:
        """Return the settings of one backend process per region."""
        policy = self.policy()
        region_by_zone = {z: name for name, region in policy.regions.items() for z in region.zones}
        targets_by_region: dict[str, list[TargetSettings]] = {name: [] for name in policy.regions}
        for target_id, target in policy.targets.items():
            targets_by_region[region_by_zone[target.zone]].append(
                TargetSettings(
                    target_id=target_id,
                    host=target.host,
                    port=target.port,
                    service=target.service,
                    region=region_by_zone[target.zone],
                    zone=target.zone,
                    slots=target.slots,
                    connections=target.connections,
                )
            )
        return {
            region: BackendSettings(
                control_port=free_port("127.0.0.1"),
                seed=seed,
                warm=self.standins.warm,
                delays=self.standins.delays,
                times_by_service=self.standins.times_by_service,
                targets=targets,
            )
            for region, targets in targets_by_region.items()
        }

    def callers(
        self, seed: int, seconds: float, loads: list[Load] | None = None
    ) -> dict[str, CallerSettings]:
        """Return the settings of one caller process per region."""
        entries = [self.address(name) for name in self.names("entry-")]
        return {
            region: CallerSettings(
                name=f"callers-{region}",
                region=region,
                hosts=[f"{network}.{block}.1" for block in range(self.standins.caller_blocks)],
                seed=seed,
                seconds=seconds,
                entries=entries,
                delays=self.standins.delays,
                loads=self.standins.loads if loads is None else loads,
                report=str(self.folder / f"report-{region}-{seed}.json"),
            )
            for region, network in self.standins.caller_networks_by_region.items()
        }
