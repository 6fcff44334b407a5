"""Ablation study: disable one mechanism at a time in a clone and measure the effect.

``python tools/ablation.py --program PATH --site FILE --days scale-1 scale-2 --scratch DIR`` clones
the repository once for each mechanism, replaces the mechanism in the clone by a trivial form,
simulates the days with the deployment's measuring program and prints one table. The gateway itself
has no settings that disable these mechanisms. The row ``unchanged`` is simulated as often as the
others; with several seeds, its variation is the noise level.
"""

import argparse
import json
import shutil
import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

__all__ = ["MECHANISMS", "UNCHANGED", "DayResult", "Mechanism", "disable", "format_table"]

ROOT = Path(__file__).resolve().parent.parent
GATEWAY = Path("briarspur/gateway")
BUILD_DIRECTORY = "target"


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism, and the text replacement in a source file of the gateway that disables it."""

    name: str
    file: str = ""
    old: str = ""
    new: str = ""


UNCHANGED = Mechanism("unchanged")
MECHANISMS = (
    UNCHANGED,
    Mechanism(
        "refusing what would wait and be late", "admission.py", "response_time <= goal:", "True:"
    ),
    Mechanism(
        "bound on spreading",
        "admission.py",
        "MAX_SPREAD_UTILIZATION = 0.8",
        "MAX_SPREAD_UTILIZATION = 99.0",
    ),
    Mechanism(
        "warm copies", "admission.py", "MAX_COPY_UTILIZATION = 0.6", "MAX_COPY_UTILIZATION = -1.0"
    ),
    Mechanism(
        "bound on warm copies",
        "admission.py",
        "MAX_COPY_UTILIZATION = 0.6",
        "MAX_COPY_UTILIZATION = 99.0",
    ),
    Mechanism("cost of bytes", "transit.py", "ZONE_BYTE_COST_S = 3.0e-6", "ZONE_BYTE_COST_S = 0.0"),
    Mechanism(
        "order of preference", "chooser.py", "RANK_COST_SHARE = 0.05", "RANK_COST_SHARE = 0.0"
    ),
    Mechanism("cost of cold runs", "chooser.py", "COLD_COST_SHARE = 0.5", "COLD_COST_SHARE = 0.0"),
    Mechanism("weight of trouble", "chooser.py", "ERROR_RATE_COST = 4.0", "ERROR_RATE_COST = 0.0"),
    Mechanism("suspicion", "chooser.py", "SUSPECT_COST_S = 2.0", "SUSPECT_COST_S = 0.0"),
    Mechanism("newcomers", "chooser.py", "NEW_SERVER_SHARE = 0.5", "NEW_SERVER_SHARE = -1.0"),
    Mechanism("hedging", "steering.py", "HEDGE_SHARE = 0.5", "HEDGE_SHARE = 0.0"),
    Mechanism("breaker", "breaker.py", "MIN_PAUSE_S = 0.4", "MIN_PAUSE_S = 0.0"),
    Mechanism("load news", "loadview.py", "STALE_S = 1.5", "STALE_S = -1.0"),
    Mechanism(
        "kept connections",
        "pool.py",
        "DEFAULT_KEEP_ALIVE_S = 8.0",
        "DEFAULT_KEEP_ALIVE_S = 0.0",
    ),
    Mechanism(
        "held departures",
        "departures.py",
        "REREGISTRATION_S = 2.2",
        "REREGISTRATION_S = -9e9",
    ),
    Mechanism(
        "warm record in the store",
        "warmthkeeper.py",
        "self._loads.restore_warmed(",
        "(lambda pairs: None)(",
    ),
    Mechanism("forgotten objects", "steering.py", "target.warmth.discard(key)", "pass"),
)
"""Each ``old`` text must occur exactly once in its file; a test checks this."""


@dataclass(frozen=True, slots=True)
class DayResult:
    """The result of one day with one mechanism disabled; ``worth`` is None without a report."""

    mechanism: str
    day: str
    seed: int
    worth: float | None
    in_time: float = 0.0
    refused: float = 0.0
    broken: str = ""


def disable(mechanism: Mechanism, tree: Path) -> None:
    """Disable a mechanism in a source tree.

    Raises
    ------
    ValueError
        The text to replace does not occur exactly once.
    """
    if not mechanism.file:
        return
    path = tree / GATEWAY / mechanism.file
    source = path.read_text()
    occurrences = source.count(mechanism.old)
    if occurrences != 1:
        raise ValueError(
            f"{mechanism.name}: {mechanism.old!r} occurs {occurrences} times in {path.name}"
        )
    path.write_text(source.replace(mechanism.old, mechanism.new))


def clone_without(mechanism: Mechanism, scratch: Path) -> Path:
    """Clone the repository, disable a mechanism in the clone and return its path."""
    tree = scratch / mechanism.name.replace(" ", "-")
    shutil.rmtree(tree, ignore_errors=True)
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(tree)], check=True)
    if (ROOT / BUILD_DIRECTORY).exists():
        shutil.copytree(ROOT / BUILD_DIRECTORY, tree / BUILD_DIRECTORY)
        (tree / BUILD_DIRECTORY / "deps").touch()
    disable(mechanism, tree)
    return tree


def measure(
    program: Path, site: Path, tree: Path, mechanism: Mechanism, day: str, seed: int
) -> DayResult:
    """Simulate one day with the code of a clone and return its result."""
    report = tree.parent / f"{tree.name}-{day}-{seed}.json"
    report.unlink(missing_ok=True)
    command = [str(program), "run", str(site), day, "--report", str(report)]
    if seed:
        command += ["--seed", str(seed)]
    command += ["--why", f"ablation: without {mechanism.name}"]
    subprocess.run(command, cwd=tree, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    if not report.exists():
        print(f"{mechanism.name}, {day}, seed {seed}: no report", file=sys.stderr)
        return DayResult(mechanism.name, day, seed, None)
    read = json.loads(report.read_text())
    totals = read["all"]
    request_count = max(1, totals["n"])
    broken = ", ".join(f"{rule} {count}" for rule, count in read["breaks"].items())
    return DayResult(
        mechanism.name,
        day,
        seed,
        read["G"],
        totals["in_aim"] / request_count,
        totals["refused"] / request_count,
        broken,
    )


def format_table(results: Iterable[DayResult]) -> str:
    """Format the results as a Markdown table with one row per result."""
    lines = [
        "| switched off | day | seed | worth | in time | refused | rules broken |",
        "|---|---|---|---|---|---|---|",
    ]
    for item in results:
        head = f"| {item.mechanism} | {item.day} | {item.seed or 'its own'} |"
        if item.worth is None:
            lines.append(f"{head} no report | - | - | - |")
            continue
        lines.append(
            f"{head} {item.worth:.3f} | {item.in_time:.3f} | {item.refused:.3f} | "
            f"{item.broken or '-'} |"
        )
    return "\n".join(lines)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the ablation study and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--program", type=Path, required=True, help="simulates a day of a deployment"
    )
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--days", nargs="+", required=True)
    parser.add_argument(
        "--seeds", nargs="+", type=int, default=[0], help="0: the day's default seed"
    )
    parser.add_argument("--scratch", type=Path, required=True, help="directory for the clones")
    parser.add_argument("--only", nargs="+", default=[], help="run only these mechanisms")
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args(argv)
    selected = [item for item in MECHANISMS if not arguments.only or item.name in arguments.only]
    arguments.scratch.mkdir(parents=True, exist_ok=True)
    trees = {item.name: clone_without(item, arguments.scratch) for item in selected}
    with ThreadPoolExecutor(arguments.jobs) as pool:
        runs = [
            pool.submit(
                measure, arguments.program, arguments.site, trees[item.name], item, day, seed
            )
            for item in selected
            for day in arguments.days
            for seed in arguments.seeds
        ]
        print(format_table(run.result() for run in runs))
    return 0


if __name__ == "__main__":
    sys.exit(main())
