"""The operators' command line ``briarspur``: one class per command, on top of ``porcelain``."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated

import cappa
from expression import Result

from briarspur import porcelain, printing
from briarspur.clicontext import (
    Context,
    handle_broken_pipe,
    open_context,
    print_result,
    read_file,
)
from briarspur.coord.errors import StoreError, StoreUnavailableError, StoreUnclearError
from briarspur.errors import DocumentError, PeerError
from briarspur.exits import ExitCode
from briarspur.explain import explain
from briarspur.oneshot import run_once
from briarspur.planview import read_plan
from briarspur.policy import TargetState, compile_policy, parse_policy
from briarspur.porcelain import Accepted, Refused, VersionConflict
from briarspur.trace import read_timeline, timeline_text

__all__ = ["Briarspur", "main"]

Note = Annotated[str, cappa.Arg(long=True, default="", help="the reason, for the history")]
ExpectedVersion = Annotated[
    int,
    cappa.Arg(
        long="--expect-version",
        default=0,
        help="the version you edited; 0 to require that there is no policy yet",
    ),
]
Wait = Annotated[
    float,
    cappa.Arg(long=True, default=0.0, help="maximum time to wait for all entries, in seconds"),
]


def _print_outcome(
    context: Context, result: Result[Accepted, VersionConflict | Refused]
) -> ExitCode:
    if result.is_ok():
        print_result(context, result.ok, printing.accepted_text)
        return ExitCode.OK
    if isinstance(result.error, VersionConflict):
        print_result(context, result.error, printing.conflict_text)
        return ExitCode.CONFLICT
    print_result(context, result.error, lambda refused: f"refused: {refused.reason}")
    return ExitCode.REFUSED


@cappa.command(epilog="Example: `briarspur check policy.json`")
@dataclass
class Check:
    """Check a policy file without applying it; no store is needed."""

    file: str

    async def run(self, context: Context) -> ExitCode:
        """Print all faults and warnings."""
        report = porcelain.check(read_file(self.file), self.file)
        print_result(context, report, printing.check_text)
        return ExitCode.INVALID if report.faults else ExitCode.OK


@cappa.command(epilog="Example: `briarspur diff policy.json`")
@dataclass
class Diff:
    """Show the changes that a policy file would make to the version in force."""

    file: str

    async def run(self, context: Context) -> ExitCode:
        """Print the changes."""
        document = parse_policy(read_file(self.file), self.file)
        report = await porcelain.diff(context.repository, document)
        print_result(context, report, printing.diff_text)
        return ExitCode.OK


@cappa.command(epilog="Example: `briarspur apply policy.json --expect-version 17 --note 'cap 40'`")
@dataclass
class Apply:
    """Put a policy file in force if the policy is still at the version you edited."""

    file: str
    expected_version: ExpectedVersion = 0
    note: Note = ""

    async def run(self, context: Context) -> ExitCode:
        """Write the policy, or print the conflicting edit."""
        document = parse_policy(read_file(self.file), self.file)
        result = await porcelain.apply(
            context.repository, document, self.expected_version, context.sign(self.note)
        )
        return _print_outcome(context, result)


@cappa.command(epilog="Example: `briarspur show > policy.json`")
@dataclass
class Show:
    """Print the policy in force, or a past version, as a document to edit."""

    version: Annotated[int | None, cappa.Arg(long=True, help="a past version")] = None

    async def run(self, context: Context) -> ExitCode:
        """Print the document, or the whole revision with ``--json``."""
        if self.version is None:
            revision = await context.repository.current()
        else:
            revision = await context.repository.revision(self.version)
        if revision is None:
            print("no such policy", file=sys.stderr)
            return ExitCode.REFUSED
        print_result(context, revision, lambda found: printing.to_json(found.document))
        if not context.json:
            print(f"version {revision.version}", file=sys.stderr)
        return ExitCode.OK


@cappa.command(epilog="Example: `briarspur status --wait 18`")
@dataclass
class Status:
    """Query all entries: version in force by zone, lease, drains, remaining budgets."""

    wait: Wait = 0.0

    async def run(self, context: Context) -> ExitCode:
        """Print the summary once the version is in force everywhere or the wait time is over."""
        deadline = context.now() + self.wait
        while True:
            fleet = await porcelain.status(context.repository, context.directory, context.fetcher)
            if self.wait == 0 or fleet.in_force_everywhere or context.now() >= deadline:
                break
            await context.sleep(context.interval)
        print_result(context, fleet, printing.fleet_text)
        return ExitCode.NOT_DONE if self.wait and not fleet.in_force_everywhere else ExitCode.OK


@cappa.command(epilog="Example: `briarspur drain quay-3 --wait 600 --note 'new disk'`")
@dataclass
class Drain:
    """Stop sending new work to a target and let it finish its current work."""

    target: str
    wait: Wait = 0.0
    note: Note = ""

    async def run(self, context: Context) -> ExitCode:
        """Set the target to leaving; with ``--wait``, print progress until it is drained."""
        signature = context.sign(self.note or f"drain {self.target}")
        result = await porcelain.set_target_state(
            context.repository, self.target, TargetState.LEAVING, signature
        )
        code = _print_outcome(context, result)
        if code is not ExitCode.OK or self.wait == 0:
            return code
        deadline = context.now() + self.wait
        async for progress in porcelain.drain_progress(
            self.target,
            result.ok.revision.version,
            context.directory,
            context.fetcher,
            context.sleep,
            context.interval,
        ):
            print_result(context, progress, printing.drain_text)
            if progress.done:
                return ExitCode.OK
            if context.now() >= deadline:
                break
        return ExitCode.NOT_DONE


@cappa.command(epilog="Example: `briarspur undrain quay-3`")
@dataclass
class Undrain:
    """Send new work to a target again."""

    target: str
    note: Note = ""

    async def run(self, context: Context) -> ExitCode:
        """Set the target to active."""
        signature = context.sign(self.note or f"undrain {self.target}")
        result = await porcelain.set_target_state(
            context.repository, self.target, TargetState.ACTIVE, signature
        )
        return _print_outcome(context, result)


@cappa.command(epilog="Example: `briarspur lookup booking --client 10.2.0.9`")
@dataclass
class Lookup:
    """Look up the entries a caller should use, as a caller would, and explain the answer."""

    service: str
    client: Annotated[str | None, cappa.Arg(long=True, help="a caller's IP address")] = None

    async def run(self, context: Context) -> ExitCode:
        """Print the answer and the reasons for it."""
        report = await porcelain.lookup(
            context.repository, context.directory, context.fetcher, self.service, self.client
        )
        print_result(context, report, printing.lookup_text)
        return ExitCode.REFUSED if report.refused else ExitCode.OK


@cappa.command(epilog="Example: `briarspur explain POST /booking/new --client 10.2.0.9`")
@dataclass
class Explain:
    """Explain which rule, regions and targets of the policy and plan apply to a request."""

    method: str
    path: str
    client: Annotated[str, cappa.Arg(long=True, help="the caller's IP address")] = "127.0.0.1"
    file: Annotated[str | None, cappa.Arg(long=True, help="a policy file not yet applied")] = None

    async def run(self, context: Context) -> ExitCode:
        """Print the explanation."""
        planned = None
        if self.file is not None:
            policy = compile_policy(parse_policy(read_file(self.file), self.file), version=0)
        else:
            current = await context.repository.current()
            if current is None:
                print("no policy is in force", file=sys.stderr)
                return ExitCode.REFUSED
            policy = compile_policy(current.document, current.version)
            plan = await read_plan(context.store)
            planned = plan.as_splits() if plan else None
        found = explain(policy, self.method, self.path, self.client, planned)
        if found.is_error():
            print(found.error, file=sys.stderr)
            return ExitCode.REFUSED
        print_result(context, found.ok, printing.explanation_text)
        return ExitCode.OK


@cappa.command(epilog="Example: `briarspur history --limit 5`")
@dataclass
class History:
    """List the versions of the policy, the newest first."""

    limit: Annotated[int, cappa.Arg(long=True)] = 20

    async def run(self, context: Context) -> ExitCode:
        """Print the version, time, author and note of each revision."""
        print_result(context, await context.repository.history(self.limit), printing.history_text)
        return ExitCode.OK


@cappa.command(epilog="Example: `briarspur rollback 17 --expect-version 23`")
@dataclass
class Rollback:
    """Put a past version in force again, as a new and higher version."""

    version: int
    expected_version: ExpectedVersion = 0
    note: Note = ""

    async def run(self, context: Context) -> ExitCode:
        """Write the past document as the version after the expected one."""
        signature = context.sign(self.note or f"rollback to {self.version}")
        result = await porcelain.rollback(
            context.repository, self.version, self.expected_version, signature
        )
        return _print_outcome(context, result)


@cappa.command(epilog="Example: `briarspur trace 9c41d07be2a35f68 entry-*.log`")
@dataclass
class Trace:
    """Show the timeline of one request from log files, or from standard input."""

    request: str
    files: Annotated[list[str], cappa.Arg(default=[])] = field(default_factory=list)

    async def run(self, context: Context) -> ExitCode:
        """Print the request's log lines from all processes, ordered by time, and the gaps."""
        texts = [read_file(name).decode("utf-8", "replace") for name in self.files or ["-"]]
        lines = [line for text in texts for line in text.splitlines()]
        timeline = read_timeline(self.request, lines)
        print_result(context, timeline, timeline_text)
        return ExitCode.OK if timeline.lines else ExitCode.REFUSED


Command = (
    Check
    | Diff
    | Apply
    | Show
    | Status
    | Drain
    | Undrain
    | Lookup
    | Explain
    | History
    | Rollback
    | Trace
)


@cappa.command(name="briarspur")
@dataclass
class Briarspur:
    """Steer traffic: change the policy, watch it take effect, drain servers, explain routing."""

    verb: cappa.Subcommands[Command]
    settings: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("BRIARSPUR_SETTINGS", default=None),
            help="settings file in JSON (or $BRIARSPUR_SETTINGS)",
        ),
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, propagate=True, help="print JSON")] = False
    author: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env("USER", default="unknown"),
            help="your name, for the history (or $USER)",
        ),
    ] = "unknown"


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; return its exit code."""
    arguments = cappa.parse(Briarspur, argv=list(argv) if argv is not None else None)
    try:
        return run_once(lambda: _run(arguments))
    except BrokenPipeError:
        return handle_broken_pipe()
    except DocumentError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID
    except StoreUnclearError as error:
        print(f"unsettled: {error}", file=sys.stderr)
        return ExitCode.UNSETTLED
    except StoreUnavailableError as error:
        print(f"the store is unavailable: {error}", file=sys.stderr)
        return ExitCode.STORE_UNAVAILABLE
    except PeerError as error:
        print(error, file=sys.stderr)
        return ExitCode.NO_ENTRY
    except (StoreError, KeyboardInterrupt) as error:
        print(f"failed: {error!r}", file=sys.stderr)
        return ExitCode.FAILED


async def _run(arguments: Briarspur) -> ExitCode:
    async with open_context(arguments.settings, arguments.json, arguments.author) as context:
        return await arguments.verb.run(context)


if __name__ == "__main__":
    sys.exit(main())
