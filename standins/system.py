"""A complete deployment as processes on loopback, for the demo, scenario tests and experiments."""

import base64
import json
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any, Self

from briarspur.objects import VmState
from standins.callersettings import CallerSettings, Load
from standins.callreport import Report
from standins.deployment import Deployment
from standins.launcher import Launcher

__all__ = ["NotReadyError", "System", "call", "wait_until"]

CALL_TIMEOUT_S = 2.0
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
HOST = "127.0.0.1"
MAX_LOG_CHARACTERS = 2_000
"""Length of the log excerpt in the error for a process that ended unexpectedly."""
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class NotReadyError(Exception):
    """A condition was not met in time, or a process ended unexpectedly."""


def call(host: str, port: int, path: str, body: object = None) -> Any:
    """Make an HTTP call (POST if there is a body); return the JSON of the response.

    Raises
    ------
    OSError
        There was no response, or its status was an error.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{host}:{port}{path}", data=data)
    with OPENER.open(request, timeout=CALL_TIMEOUT_S) as response:
        text = response.read()
    return json.loads(text) if text else None


def wait_until(
    condition: Callable[[], bool], description: str, timeout: float = READY_TIMEOUT_S
) -> float:
    """Wait until ``condition`` is true; return the seconds it took.

    Raises
    ------
    NotReadyError
        The condition is still false after ``timeout`` seconds.
    """
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > timeout:
            raise NotReadyError(f"after {timeout:.0f} s still not: {description}")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - began


class System:
    """Platform, backend servers, entries, steers and callers of one deployment.

    Parameters
    ----------
    entry_module : str
        Module to run as an entry; experiments run a different one.
    """

    def __init__(
        self,
        deployment: Deployment,
        launcher: Launcher,
        seed: int = 1,
        entry_module: str = "briarspur.entry",
    ) -> None:
        self.deployment = deployment
        self.launcher = launcher
        self.seed = seed
        self.entry_ids = deployment.names("entry-")
        self._entry_module = entry_module
        self._backends = deployment.backends(seed)
        self._vms = {vm.vm_id: asdict(vm) for vm in deployment.vms()}
        self._caller_runs: list[CallerSettings] = []
        self._past_runs = 0

    def start(self, steers: bool = True) -> Self:
        """Start everything except the callers; return once every entry is ready."""
        platform = self.deployment.documents_by_name["platform"]
        address = ("--host", platform["host"], "--port", str(platform["port"]))
        self.launcher.start("platform", "standins.objectapi", *address)
        for region, settings in self._backends.items():
            path = self.deployment.write(f"backend-{region}", settings.model_dump(mode="json"))
            self.launcher.start(f"backend-{region}", "standins.backend", "--settings", str(path))
        self._wait_until_answering("platform", platform["host"], platform["port"], "/control")
        for region, settings in self._backends.items():
            self._wait_until_answering(f"backend-{region}", HOST, settings.control_port, "/ledger")
        self.publish_vms()
        self.run_cli("apply", str(self.deployment.folder / "policy.json"))
        for entry_id in self.entry_ids:
            self.start_entry(entry_id)
        if steers:
            for name in self.deployment.names("steer-"):
                self.start_steer(name)
        for entry_id in self.entry_ids:
            wait_until(lambda e=entry_id: self.is_ready(e), f"{entry_id} ready")  # type: ignore[misc]
        return self

    def start_entry(self, entry_id: str) -> None:
        """Start one entry."""
        path = str(self.deployment.folder / f"{entry_id}.json")
        self.launcher.start(entry_id, self._entry_module, "--settings", path)

    def start_steer(self, name: str) -> None:
        """Start one steer."""
        path = str(self.deployment.folder / f"{name}.json")
        self.launcher.start(name, "briarspur.steer", "--settings", path)

    def run_cli(self, *arguments: str) -> str:
        """Run the operators' command line; return its output.

        Raises
        ------
        NotReadyError
            The exit code was not 0.
        """
        settings = str(self.deployment.folder / "cli.json")
        name = f"operate-{arguments[0]}-{time.monotonic_ns()}"
        self.launcher.start(name, "briarspur.cli", *arguments, "--settings", settings)
        code = self.launcher.wait(name, READY_TIMEOUT_S)
        text = self.launcher.log(name).read_text()
        if code != 0:
            raise NotReadyError(f"briarspur {' '.join(arguments)}: exit code {code}: {text}")
        return text

    # Entries

    def is_ready(self, entry_id: str) -> bool:
        """Tell whether an entry accepts requests."""
        address = self.deployment.address(entry_id)
        self._check_running(entry_id)
        return self._is_answering(address.host, address.port, "/readyz")

    def status(self, entry_id: str) -> dict[str, Any] | None:
        """Return an entry's ``/status`` document; None if it does not answer."""
        address = self.deployment.address(entry_id)
        try:
            document: dict[str, Any] = call(address.host, address.port, "/status")
        except (OSError, ValueError):
            return None
        return document

    def versions_by_entry(self) -> dict[str, int]:
        """Return the policy version in force at each entry that answers."""
        found = {entry_id: self.status(entry_id) for entry_id in self.entry_ids}
        return {name: status["policy_version"] for name, status in found.items() if status}

    def invariant_violations(self) -> dict[str, int]:
        """Return how often each invariant was violated, summed over the entries that answer."""
        found: Counter[str] = Counter()
        for entry_id in self.entry_ids:
            status = self.status(entry_id) or {}
            found.update(status.get("invariant_violations", {}))
        return dict(found)

    # The platform and the backend servers

    def switch_platform(self, **switches: object) -> dict[str, Any]:
        """Change switches of the platform's stand-in; return its switches and counts."""
        platform = self.deployment.documents_by_name["platform"]
        document: dict[str, Any] = call(platform["host"], platform["port"], "/control", switches)
        return document

    def history(self, name: str) -> list[bytes]:
        """Return the recent values of an object, oldest first."""
        platform = self.deployment.documents_by_name["platform"]
        path = f"/control/history?name={name}"
        values = call(platform["host"], platform["port"], path)["values"]
        return [base64.b64decode(value) for value in values]

    def steer_status(self, name: str) -> dict[str, Any] | None:
        """Return a steer's ``/status`` document; None if it does not answer."""
        settings = self.deployment.documents_by_name[name]
        try:
            document: dict[str, Any] = call(settings["host"], settings["status_port"], "/status")
        except (OSError, ValueError):
            return None
        return document

    def publish_vms(self, **states: VmState) -> None:
        """Publish the VM list after changing the state of the named entries."""
        for name, state in states.items():
            self._vms[name.replace("_", "-")]["state"] = state
        rows = [
            {**{k: v for k, v in vm.items() if k != "vm_id"}, "id": vm["vm_id"]}
            | {"state": VmState(vm["state"]).value}
            for vm in self._vms.values()
        ]
        self.switch_platform(vms=rows)

    def switch_target(self, target_id: str, **switches: object) -> None:
        """Change switches of one target, or of all targets for ``*``."""
        for settings in self._backends.values():
            body = {"target": target_id, **switches}
            call(HOST, settings.control_port, "/control", body)

    def ledgers(self) -> list[dict[str, Any]]:
        """Return the ledger of each backend process."""
        return [
            call(HOST, settings.control_port, "/ledger") for settings in self._backends.values()
        ]

    def bookings(self) -> int:
        """Return how many keys the ledgers hold."""
        return sum(len(ledger["runs_by_key"]) for ledger in self.ledgers())

    def total(self, count: str) -> int:
        """Return a counter, summed over all targets."""
        return sum(
            counts[count]
            for ledger in self.ledgers()
            for counts in ledger["counts_by_target"].values()
        )

    def counts(self, target_id: str) -> dict[str, Any]:
        """Return the counters of one target."""
        for ledger in self.ledgers():
            if target_id in ledger["counts_by_target"]:
                found: dict[str, Any] = ledger["counts_by_target"][target_id]
                return found
        raise KeyError(target_id)

    def busiest_target(self, service: str) -> tuple[str, int]:
        """Return the target of a service with the most requests in flight, and their number."""
        found = [
            (counts["in_flight"], target_id)
            for ledger in self.ledgers()
            for target_id, counts in ledger["counts_by_target"].items()
            if self.deployment.policy().targets[target_id].service == service
        ]
        in_flight, target_id = max(found)
        return target_id, in_flight

    # Callers

    def start_callers(self, seconds: float, loads: list[Load] | None = None) -> None:
        """Start one process of callers in each region."""
        seed = self.seed * 1000 + self._past_runs + len(self._caller_runs)
        for region, settings in self.deployment.callers(seed, seconds, loads).items():
            name = f"callers-{region}-{seed}"
            path = self.deployment.write(name, settings.model_dump(mode="json"))
            self.launcher.start(name, "standins.caller", "--settings", str(path))
            self._caller_runs.append(settings)

    def callers_running(self) -> list[str]:
        """Return the names of the caller processes that are still running."""
        names = [f"{settings.name}-{settings.seed}" for settings in self._caller_runs]
        return [name for name in names if self.launcher.is_alive(name)]

    def finish_callers(self, timeout: float) -> Report:
        """Wait until every call has ended; return the sum of all reports."""
        wait_until(lambda: not self.callers_running(), "callers at their end", timeout)
        total = Report()
        for settings in self._caller_runs:
            log = self.launcher.log(f"{settings.name}-{settings.seed}")
            path = Path(settings.report)
            if not path.exists():
                raise NotReadyError(f"no report: {log.read_text()[-2000:]}")
            total.add(Report.load(path.read_text()))
        return total

    def discard_callers(self) -> None:
        """Exclude the callers so far from later reports; their seeds are not reused."""
        self._past_runs += len(self._caller_runs)
        self._caller_runs.clear()

    def kill_backends(self, region: str) -> None:
        """Kill the backend servers of a region; its ledger is lost."""
        self.launcher.kill(f"backend-{region}")
        del self._backends[region]

    def wait_idle(self, timeout: float = READY_TIMEOUT_S) -> list[dict[str, Any]]:
        """Wait until no target has a request in flight; return the ledgers."""

        def idle() -> bool:
            ledgers = self.ledgers()
            return all(
                counts["in_flight"] == 0
                for ledger in ledgers
                for counts in ledger["counts_by_target"].values()
            )

        wait_until(idle, "idle backend servers", timeout)
        return self.ledgers()

    def _wait_until_answering(self, name: str, host: str, port: int, path: str) -> None:
        def is_answering() -> bool:
            self._check_running(name)
            return self._is_answering(host, port, path)

        wait_until(is_answering, f"{name} answers")

    def _check_running(self, name: str) -> None:
        if not self.launcher.is_alive(name):
            log = self.launcher.log(name).read_text()[-MAX_LOG_CHARACTERS:]
            raise NotReadyError(f"{name} has ended: {log}")

    def _is_answering(self, host: str, port: int, path: str) -> bool:
        try:
            call(host, port, path)
        except ValueError:
            return True
        except OSError:
            return False
        return True
