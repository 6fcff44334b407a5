"""``make soak SEED=n MINUTES=n``: run the state machines of the tests for longer, with other seeds.

The state machines take turns; each turn runs one machine with one seed, and the seed changes after
every machine has had its turn. Each failure is printed with its machine and seed, and makes the
exit code 1.
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
EXAMPLES_PER_SLICE = 100
STEPS_PER_EXAMPLE = 80


def count_steps(machine: type[RuleBasedStateMachine], steps_by_rule: Counter[str]) -> None:
    """Wrap every rule of a state machine so that its steps are counted."""
    for rule in machine.setup_state().rules:
        object.__setattr__(rule, "function", _with_counter(rule.function, steps_by_rule))


def _with_counter(function: Callable[..., Any], steps_by_rule: Counter[str]) -> Callable[..., Any]:
    def step(*args: Any, **kwargs: Any) -> Any:
        steps_by_rule[function.__name__] += 1
        return function(*args, **kwargs)

    step.__name__ = function.__name__
    return step


def slices(first_seed: int, ends_at: float) -> Iterator[tuple[str, str, int]]:
    """Yield module name, machine name and seed until the time is over."""
    seed_number = first_seed
    while True:
        for module, name in MACHINES:
            if time.monotonic() >= ends_at:
                return
            yield module, name, seed_number
        seed_number += 1


def run_slice(machine: type[RuleBasedStateMachine], seed_number: int) -> str | None:
    """Run one machine with one seed; return the traceback of a failure, or None."""
    run_settings = settings(
        max_examples=EXAMPLES_PER_SLICE,
        stateful_step_count=STEPS_PER_EXAMPLE,
        deadline=None,
        database=None,
        print_blob=False,
        # Shrinking a failure takes minutes; its seed is enough to reproduce it.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(seed_number)(machine), settings=run_settings)
    except Exception:  # any exception of a machine is a finding
        return traceback.format_exc()
    return None


def main() -> int:
    """Run the state machines; return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=10.0)
    arguments = parser.parse_args()
    invariants.strict = True
    # asyncio logs each store call that fails, but failed calls are an intended part of the runs.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    machines: dict[str, type[RuleBasedStateMachine]] = {}
    steps_by_machine: dict[str, Counter[str]] = {name: Counter() for _, name in MACHINES}
    findings = 0
    for module, name, seed_number in slices(
        arguments.seed, time.monotonic() + arguments.minutes * 60
    ):
        if name not in machines:
            machines[name] = getattr(importlib.import_module(module), name)
            count_steps(machines[name], steps_by_machine[name])
        failure = run_slice(machines[name], seed_number)
        if failure is not None:
            findings += 1
            print(f"finding: {name} seed {seed_number}\n{failure}", flush=True)
    for name, steps in steps_by_machine.items():
        rules = "  ".join(f"{rule} {count}" for rule, count in steps.most_common())
        print(f"{name}: {steps.total()} steps: {rules}")
    total = sum(steps.total() for steps in steps_by_machine.values())
    print(f"{total} steps, {findings} findings, from seed {arguments.seed}")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
