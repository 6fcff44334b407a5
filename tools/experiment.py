"""Compare the selection of targets with simpler alternatives, in real processes.

Each cell is one system under one load. All rows of a table come from one run of this program, so
that their ratios are valid whatever the speed of the machine.
"""

import argparse
import math
import os
import random
import sys
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from standins.alternatives import Alternative
from standins.callersettings import Load
from standins.callreport import Outcome, Report, check_bookings
from standins.deployment import Deployment
from standins.launcher import Launcher
from standins.system import System, wait_until

SERVICE_MEDIAN_MS = 100.0
"""Service time of small requests, slow enough that one machine can occupy every slot."""

CALLER_BLOCKS = 120
"""Client blocks per region. All callers of a block prefer the same entry, so with few blocks the
load of the entries is uneven by chance."""

DOWNLOAD_BYTES = 500_000
DOWNLOAD_LOAD_SHARE = 0.2
WARM_UP_S = 4.0
LOSS_AFTER_S = 3.0
LOSS_LOAD_SHARE = 0.8
MAX_CALLERS_END_S = 120.0
DOWNLOAD_SERVICES = {"charts", "plans"}
KEYED_SERVICES = {"bookings", "ordering"}
LOAD_SHARES = (0.5, 0.8, 0.95, 1.3)
LOSSES = ("entry", "zone", "region")
HEADER = (
    "| way | load | lost | goodput of capacity | refused | p50 ms | p99 ms | shed by targets "
    "| peak over target's slots | peak over region's limit | not final | doubled |"
)


@dataclass(frozen=True, slots=True)
class Cell:
    """One row of the table: the configuration and its results.

    Attributes
    ----------
    target_peak, region_peak : float
        Highest ratio of the in-flight count to the slots of a target, or to the limit of a region.
    """

    alternative: str
    load: float
    lost: str
    goodput: float
    refused: float
    p50: float
    p99: float
    shed: int
    target_peak: float
    region_peak: float
    not_final: int
    doubled: int

    def row(self) -> str:
        """Format the cell as a row of the table."""
        return (
            f"| {self.alternative} | {self.load:.0%} | {self.lost} | {self.goodput:.1%}"
            f" | {self.refused:.2%} | {self.p50:.0f} | {self.p99:.0f} | {self.shed}"
            f" | {self.target_peak:.2f} | {self.region_peak:.2f} | {self.not_final}"
            f" | {self.doubled} |"
        )


class Experiment:
    """Measures cells on one system that runs one alternative."""

    def __init__(
        self, system: System, alternative: Alternative, seconds: float, repeats: int
    ) -> None:
        self._system = system
        self._alternative = alternative
        self._seconds = seconds
        self._repeats = repeats
        self._capacity_by_service = compute_capacities(system.deployment)

    def measure(self, load: float, lost: str = "none") -> Cell:
        """Measure one cell, after a warm-up that is not counted."""
        system = self._system
        loads = self._loads(load)
        system.start_callers(WARM_UP_S, loads)
        system.finish_callers(MAX_CALLERS_END_S)
        system.discard_callers()
        system.switch_target("*", reset_peaks=True)
        system.start_callers(self._seconds, loads)
        if lost != "none":
            self._inject_loss(lost)
        report = system.finish_callers(MAX_CALLERS_END_S)
        self._print_details(report)
        return self._cell(load, lost, report)

    def _print_details(self, report: Report) -> None:
        """Print the result codes and latencies of each service to standard error."""
        for load, codes in report.codes_by_load.items():
            latencies = ", ".join(f"p{p} {report.latency_ms(load, p):.0f}" for p in (50, 90, 99))
            print(f"  {load}: {dict(codes)}, ms: {latencies}", file=sys.stderr, flush=True)

    def _loads(self, share: float) -> list[Load]:
        """Return the loads of the callers of each region, at a share of the capacity."""
        regions = len(self._system.deployment.standins.caller_networks_by_region)
        loads = []
        for service, capacity in self._capacity_by_service.items():
            download = service in DOWNLOAD_SERVICES
            loads.append(
                Load(
                    name=service,
                    service=service,
                    path=f"/{service}/x",
                    method="POST" if service in KEYED_SERVICES else "GET",
                    keyed=service in KEYED_SERVICES,
                    per_s=capacity * (DOWNLOAD_LOAD_SHARE if download else share) / regions,
                    download_bytes=DOWNLOAD_BYTES if download else 0,
                    patience_s=30.0 if download else 10.0,
                    repeats=self._repeats,
                )
            )
        return loads

    def _inject_loss(self, lost: str) -> None:
        """Kill an entry, all entries of a zone, or all entries and backend servers of a region."""
        system = self._system
        wait_until(lambda: system.callers_running() != [], "callers")
        started_before = system.total("started")
        small_capacity = sum(
            c for s, c in self._capacity_by_service.items() if s not in DOWNLOAD_SERVICES
        )
        wait_until(
            lambda: system.total("started") > started_before + small_capacity * LOSS_AFTER_S / 2,
            "load",
        )
        policy = system.deployment.policy()
        region = next(iter(policy.regions))
        zone = policy.regions[region].zones[0]
        for entry_id, entry in policy.entries.items():
            in_zone = entry.zone == zone
            in_region = entry.zone in policy.regions[region].zones
            if (lost == "region" and in_region) or (lost == "zone" and in_zone):
                system.launcher.kill(entry_id)
        if lost == "entry":
            system.launcher.kill("entry-1")
        if lost == "region":
            system.kill_backends(region)

    def _cell(self, load: float, lost: str, report: Report) -> Cell:
        small_services = [s for s in self._capacity_by_service if s not in DOWNLOAD_SERVICES]
        answered = sum(report.total(Outcome.ANSWERED, service) for service in small_services)
        calls = sum(sum(report.outcomes_by_load.get(s, {}).values()) for s in small_services)
        refused = sum(report.total(Outcome.REFUSED, service) for service in small_services)
        capacity = (
            sum(self._capacity_by_service[service] for service in small_services) * self._seconds
        )
        total = Report()
        for service in small_services:
            if service in report.histograms_by_load:
                total.histograms_by_load.setdefault("all", report.histograms_by_load[service])
                if total.histograms_by_load["all"] is not report.histograms_by_load[service]:
                    total.histograms_by_load["all"].add(report.histograms_by_load[service])
        ledgers = self._system.ledgers()
        policy = self._system.deployment.policy()
        verdict = check_bookings(report, ledgers)
        return Cell(
            alternative=self._alternative.value,
            load=load,
            lost=lost,
            goodput=answered / capacity,
            refused=refused / max(1, calls),
            p50=total.latency_ms("all", 50),
            p99=total.latency_ms("all", 99),
            shed=sum(c["shed"] for item in ledgers for c in item["counts_by_target"].values()),
            target_peak=max(
                c["peak_in_flight"] / policy.targets[target_id].slots
                for item in ledgers
                for target_id, c in item["counts_by_target"].items()
            ),
            region_peak=max(
                c["peak_in_flight"] / policy.regions[region].in_flight_limit
                for item in ledgers
                for region, c in item["counts_by_region"].items()
            ),
            not_final=report.total(Outcome.NONE) + report.total(Outcome.WRONG),
            doubled=len(verdict.doubled),
        )


def compute_capacities(deployment: Deployment) -> dict[str, float]:
    """Return the requests per second that all slots of a service can run, by service."""
    policy = deployment.policy()
    capacity_by_service: dict[str, float] = {}
    for target in policy.targets.values():
        time = deployment.standins.times_by_service[target.service]
        seconds = time.median_ms / 1000 * math.exp(time.sigma**2 / 2)
        if target.service in DOWNLOAD_SERVICES:
            seconds += DOWNLOAD_BYTES / time.bytes_per_s
        capacity_by_service[target.service] = (
            capacity_by_service.get(target.service, 0.0) + target.slots / seconds
        )
    return capacity_by_service


def with_slow_services(deployment: Deployment) -> Deployment:
    """Return the deployment with the service times and caller blocks of the experiment."""
    times = {
        service: time.model_copy(update={"median_ms": SERVICE_MEDIAN_MS})
        for service, time in deployment.standins.times_by_service.items()
    }
    changes = {"times_by_service": times, "caller_blocks": CALLER_BLOCKS}
    standins = deployment.standins.model_copy(update=changes)
    return Deployment(deployment.folder, deployment.documents_by_name, standins)


def measure_system(
    arguments: argparse.Namespace,
    alternative: Alternative,
    work: Callable[[Experiment], Iterator[Cell]],
) -> None:
    """Start a system with an alternative, run ``work`` on it and print each cell as it ends."""
    with tempfile.TemporaryDirectory(prefix="briarspur-experiment-") as folder:
        deployment = with_slow_services(Deployment.load(arguments.deployment, Path(folder)))
        with Launcher(Path(folder)) as launcher:
            system = System(deployment, launcher, entry_module="standins.trialentry")
            for entry_id in system.entry_ids:
                settings = deployment.documents_by_name[entry_id]
                deployment.write(entry_id, {**settings, "alternative": alternative.value})
            system.start()
            experiment = Experiment(system, alternative, arguments.seconds, arguments.repeats)
            for cell in work(experiment):
                print(cell.row(), flush=True)


def main() -> None:
    """Measure the cells selected by the arguments."""
    parser = argparse.ArgumentParser(prog="experiment", description=__doc__)
    parser.add_argument("--deployment", choices=["iroise", "holzwerk"], default="iroise")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="duration of the load of each cell"
    )
    parser.add_argument(
        "--ways", nargs="*", default=[alternative.value for alternative in Alternative]
    )
    parser.add_argument("--loads", nargs="*", type=float, default=list(LOAD_SHARES))
    parser.add_argument("--losses", nargs="*", choices=LOSSES, default=[])
    parser.add_argument(
        "--repeats", type=int, default=0, help="how often a caller repeats a refused call"
    )
    arguments = parser.parse_args()
    print(f"{arguments.deployment}, {arguments.seconds:.0f} s a cell, {os.cpu_count()} cores")
    print(HEADER)
    print("|" + " --- |" * HEADER.count(" | ") + " --- |")
    alternatives = [Alternative(name) for name in arguments.ways]
    random.Random(1).shuffle(alternatives)
    for alternative in alternatives:
        if arguments.loads:
            measure_system(
                arguments, alternative, lambda e: (e.measure(load) for load in arguments.loads)
            )
        for lost in arguments.losses:
            measure_system(
                arguments,
                alternative,
                lambda e, lost=lost: iter([e.measure(LOSS_LOAD_SHARE, lost)]),  # type: ignore[misc]
            )


if __name__ == "__main__":
    main()
