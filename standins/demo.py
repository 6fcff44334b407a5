"""Run a small deployment under mixed load for some seconds while an operator makes changes.

It exits with 0 only if nothing was lost or doubled.
"""

import argparse
import json
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from briarspur.codes import Code
from briarspur.objects import VmState
from standins.callreport import Outcome, Report, Verdict, check_bookings
from standins.deployment import Deployment
from standins.launcher import Launcher
from standins.system import NotReadyError, System, wait_until

__all__ = ["main"]

DEFAULT_DURATION_S = 20.0
POLICY_AT_S = 4.0
DRAIN_AT_S = 8.0
STOP_AT_S = 12.0
STOPPED_ENTRY = "entry-10"
ENTRY_STOP_TIMEOUT_S = 60.0
PROGRESS_INTERVAL_S = 2.0
DRAIN_CHECK_DELAY_S = 3.0
VM_LAG_S = 2.0
DRAIN_SERVICE = {"iroise": "charts", "holzwerk": "plans"}
CALLERS_END_TIMEOUT_S = 90.0


@dataclass(slots=True)
class Events:
    """Actions of the operator with their durations, and the faults that were found."""

    lines: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def report(self, line: str) -> None:
        """Print a line and record it."""
        self.lines.append(line)
        print(line, flush=True)


def change_policy(system: System, events: Events) -> None:
    """Change the policy with the command line; wait until it is in force at every entry."""
    policy = json.loads(system.run_cli("show", "--json"))
    document = policy["document"]
    document["retry_share"] = 0.08
    path = system.deployment.write("policy-2", document)
    version = str(policy["version"])
    began = time.monotonic()
    system.run_cli("apply", str(path), "--expect-version", version, "--note", "fewer retries")
    applied = time.monotonic() - began
    wait_until(lambda: _in_force(system, int(version) + 1), "the new policy in force", 30.0)
    events.report(
        f"policy changed: written after {applied:.2f} s,"
        f" seen in force at every entry after {time.monotonic() - began:.2f} s"
    )


def _in_force(system: System, version: int) -> bool:
    versions = system.versions_by_entry()
    running = [e for e in system.entry_ids if system.launcher.is_alive(e)]
    return all(versions.get(entry_id, 0) >= version for entry_id in running)


def drain(system: System, service: str, events: Events) -> str:
    """Drain a busy backend server with the command line; return its id.

    The drain is complete when no entry uses the server and its requests have ended.
    """
    wait_until(lambda: system.busiest_target(service)[1] > 0, f"a request at a target of {service}")
    target_id, in_flight = system.busiest_target(service)
    began = time.monotonic()
    version = max(system.versions_by_entry().values())
    system.run_cli("drain", target_id)
    wait_until(lambda: _in_force(system, version + 1), "the drain in force", 30.0)
    wait_until(lambda: system.counts(target_id)["in_flight"] == 0, f"{target_id} drained", 60.0)
    events.report(
        f"{target_id} drained in {time.monotonic() - began:.2f} s ({in_flight} in flight at first)"
    )
    return target_id


def check_drained(system: System, target_id: str, started: int, events: Events) -> None:
    """Record a fault if a backend server received new requests after its drain."""
    new = system.counts(target_id)["started"] - started
    if new:
        events.faults.append(f"{target_id} got {new} new requests after its drain")


def stop_entry(system: System, events: Events) -> None:
    """Stop an entry gracefully; the VM list shows it only after a delay."""
    began = time.monotonic()
    system.publish_vms(**{STOPPED_ENTRY.replace("-", "_"): VmState.LEAVING})
    code = system.launcher.stop(STOPPED_ENTRY, ENTRY_STOP_TIMEOUT_S)
    events.report(f"{STOPPED_ENTRY} stopped in {time.monotonic() - began:.2f} s, exit code {code}")
    if code != 0:
        events.faults.append(f"{STOPPED_ENTRY} ended with exit code {code}")


def run(system: System, deployment: str, seconds: float) -> int:
    """Run the demo under load; return the exit code."""
    events = Events()
    system.switch_platform(vm_lag_s=VM_LAG_S)
    began = time.monotonic()
    system.start_callers(seconds)
    print(f"mixed load for {seconds:.0f} s", flush=True)
    _show_progress_until(system, began + POLICY_AT_S)
    change_policy(system, events)
    _show_progress_until(system, began + DRAIN_AT_S)
    drained = drain(system, DRAIN_SERVICE[deployment], events)
    _show_progress_until(system, max(began + STOP_AT_S, time.monotonic() + DRAIN_CHECK_DELAY_S))
    started = system.counts(drained)["started"]
    stop_entry(system, events)
    _show_progress_until(system, began + seconds)
    report = system.finish_callers(CALLERS_END_TIMEOUT_S)
    verdict = check_bookings(report, system.wait_idle())
    check_drained(system, drained, started, events)
    print()
    print_tables(system, report, verdict)
    faults = events.faults + _faults(report, verdict)
    faults += [
        f"{name} did not hold {n} times" for name, n in system.invariant_violations().items()
    ]
    for fault in faults:
        print(f"FAULT: {fault}")
    print("nothing lost, nothing doubled" if not faults else f"{len(faults)} faults")
    return 1 if faults else 0


def _show_progress_until(system: System, at: float) -> None:
    """Print the progress of the callers until the time ``at``."""
    shown: dict[str, str] = {}
    while (remaining_s := at - time.monotonic()) > 0:
        time.sleep(min(PROGRESS_INTERVAL_S, remaining_s))
        for name in system.callers_running():
            lines = system.launcher.log(name).read_text().splitlines()
            if lines and shown.get(name) != lines[-1]:
                shown[name] = lines[-1]
                print(f"  {lines[-1]}", flush=True)


def _faults(report: Report, verdict: Verdict) -> list[str]:
    faults = [f"{len(keys)} {what}: {keys[:3]}" for what, keys in _booking_faults(verdict) if keys]
    for outcome in (Outcome.NONE, Outcome.WRONG):
        if count := report.total(outcome):
            faults.append(f"{count} calls: {outcome.value}")
    return faults + report.failed_histories()[:10]


def _booking_faults(verdict: Verdict) -> list[tuple[str, list[str]]]:
    return [
        ("bookings recorded more than once", verdict.doubled),
        ("bookings confirmed and not recorded", verdict.lost),
        ("bookings refused as not run, yet recorded", verdict.run_though_refused),
    ]


def print_tables(system: System, report: Report, verdict: Verdict) -> None:
    """Print result codes, latencies, bookings, peaks, and the policy versions in force."""
    print("final answers by result code")
    codes = sorted({code for counter in report.codes_by_load.values() for code in counter}, key=int)
    for code in codes:
        name = Code(int(code)).name.lower() if int(code) else "none"
        counts = "  ".join(f"{n} {c[code]}" for n, c in report.codes_by_load.items() if c[code])
        print(f"  {code:>4} {name:<24} {counts}")
    print("latency of whole answers, ms, repeats included")
    print(f"  {'service':<12}{'answers':>9}{'p50':>9}{'p90':>9}{'p99':>9}")
    for load in report.outcomes_by_load:
        row = "".join(f"{report.latency_ms(load, p):>9.1f}" for p in (50, 90, 99))
        print(f"  {load:<12}{report.total(Outcome.ANSWERED, load):>9}{row}")
    print(f"bookings: {verdict.recorded} recorded, {verdict.confirmed} confirmed")
    print("peaks in flight against limits")
    policy = system.deployment.policy()
    for ledger in system.ledgers():
        for region, counts in ledger["counts_by_region"].items():
            limit = policy.regions[region].in_flight_limit
            shed = sum(c["shed"] for c in ledger["counts_by_target"].values())
            peak = counts["peak_in_flight"]
            print(f"  {region:<12}{peak:>4} of {limit:<4} {shed} shed by full targets")
    print("version of the policy in force")
    versions = system.versions_by_entry()
    print("  " + "  ".join(f"{entry_id} {v}" for entry_id, v in versions.items()))


def show_addresses(system: System) -> None:
    """Print the addresses of a demo that keeps running."""
    print(f"settings and logs: {system.deployment.folder}")
    for entry_id in system.entry_ids:
        address = system.deployment.address(entry_id)
        print(f"  {entry_id}: http://{address.host}:{address.port}/status")
    print(f"try: briarspur --settings {system.deployment.folder}/cli.json status")
    print("Ctrl-C ends it", flush=True)


def main() -> int:
    """Run the demo; ``--keep`` leaves the system running until Ctrl-C."""
    parser = argparse.ArgumentParser(prog="standins.demo", description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DRAIN_SERVICE), default="iroise")
    parser.add_argument("--seconds", type=float, default=DEFAULT_DURATION_S)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", action="store_true", help="keep it running, without load")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="briarspur-demo-") as name:
        deployment = Deployment.load(arguments.deployment, Path(name))
        with Launcher(Path(name)) as launcher:
            try:
                system = System(deployment, launcher, arguments.seed)
                print(
                    f"{arguments.deployment}: starting {len(system.entry_ids)} entries", flush=True
                )
                system.start()
                if not arguments.keep:
                    return run(system, arguments.deployment, arguments.seconds)
                show_addresses(system)
                while True:
                    time.sleep(3600)
            except NotReadyError as error:
                print(error, file=sys.stderr)
                return 1
            except KeyboardInterrupt:
                print("ending all processes", flush=True)
                return 0 if arguments.keep else 130


if __name__ == "__main__":
    sys.exit(main())
