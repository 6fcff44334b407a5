"""``make soak SEED=n MINUTES=n``: the randomised runs of the tests, for longer, from other seeds.

Each state machine of the tests runs in turn for a slice of the time, every slice from a new seed. A
finding is printed with its machine and seed, and ends the run with exit code 1.
"""

import argparse
import importlib
import logging
import sys
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from briarspur.coord.invariants import invariants

__all__ = ["main"]

MACHINES = (
    ("tests.test_core_machine", "CoreMachine"),
    ("tests.coord.test_once_machine", "OnceMachine"),
    ("tests.coord.test_escrow", "EscrowMachine"),
    ("tests.coord.test_lease", "LeaseMachine"),
    ("tests.coord.test_membership", "MembershipMachine"),
    ("tests.coord.test_quarantine", "PoisonMachine"),
)
EXAMPLES_A_SLICE = 100
STEPS_AN_EXAMPLE = 80


def counted(machine: type[RuleBasedStateMachine], steps_by_rule: Counter[str]) -> None:
    """Let every rule of a machine count its steps."""
    for rule in machine.setup_state().rules:
        object.__setattr__(rule, "function", _counting(rule.function, steps_by_rule))


def _counting(function: Callable[..., Any], steps_by_rule: Counter[str]) -> Callable[..., Any]:
    def step(*args: Any, **kwargs: Any) -> Any:
        steps_by_rule[function.__name__] += 1
        return function(*args, **kwargs)

    step.__name__ = function.__name__
    return step


def slices(first_seed: int, ends_at: float) -> Iterator[tuple[str, str, int]]:
    """Yield module, machine and seed until the time is over."""
    number = first_seed
    while True:
        for module, name in MACHINES:
            if time.monotonic() >= ends_at:
                return
            yield module, name, number
        number += 1


def run_slice(machine: type[RuleBasedStateMachine], number: int) -> str | None:
    """Run one machine from one seed; return the failure's text, None if there was none."""
    bounds = settings(
        max_examples=EXAMPLES_A_SLICE,
        stateful_step_count=STEPS_AN_EXAMPLE,
        deadline=None,
        database=None,
        print_blob=False,
        # Shrinking a finding takes minutes; its seed is enough to run it again.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(number)(machine), settings=bounds)
    except Exception:  # any failure of a machine is a finding
        return traceback.format_exc()
    return None


def main() -> int:
    """Run the machines; return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=10.0)
    arguments = parser.parse_args()
    invariants.strict = True
    # Calls that fail because the store is down are part of the runs; asyncio reports each of them.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    machines: dict[str, type[RuleBasedStateMachine]] = {}
    steps_by_machine: dict[str, Counter[str]] = {name: Counter() for _, name in MACHINES}
    findings = 0
    for module, name, number in slices(arguments.seed, time.monotonic() + arguments.minutes * 60):
        if name not in machines:
            machines[name] = getattr(importlib.import_module(module), name)
            counted(machines[name], steps_by_machine[name])
        failure = run_slice(machines[name], number)
        if failure is not None:
            findings += 1
            print(f"finding: {name} seed {number}\n{failure}", flush=True)
    for name, steps in steps_by_machine.items():
        rules = "  ".join(f"{rule} {count}" for rule, count in steps.most_common())
        print(f"{name}: {steps.total()} steps: {rules}")
    total = sum(steps.total() for steps in steps_by_machine.values())
    print(f"{total} steps, {findings} findings, from seed {arguments.seed}")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
