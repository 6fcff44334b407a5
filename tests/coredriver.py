"""A core with a small policy, and a driver that sends requests to it."""

import hashlib
import json
import random
from typing import Any

from briarspur.blocks import BlockTable
from briarspur.coord.keys import make_prefix
from briarspur.core import Core, CoreSettings
from briarspur.members import MemberView, ViewedMember
from briarspur.messages import EntryAddress, Request
from briarspur.policy import compile_policy, parse_policy
from tests.examples import small_policy

__all__ = ["WALL", "CoreDriver", "make_core", "make_incarnation", "make_view"]

WALL = 1_800_000_000.0
KEY_LIFETIME_S = 300


def make_incarnation(number: int) -> str:
    """Return the incarnation of the entry with a number."""
    return f"{number:016x}"


def make_view(entries: int = 2, regions: tuple[str, ...] = ("north", "south")) -> MemberView:
    """Return a view in which all entries of the small policy are live."""
    by_id = {}
    for r, region in enumerate(regions):
        for n in range(entries):
            number = r * entries + n + 1
            address = EntryAddress(f"entry-{number}", "127.0.0.1", number, number, number)
            by_id[address.entry_id] = ViewedMember(
                address, make_incarnation(number), region, f"{region}-a"
            )
    return MemberView(by_id)


def make_core(
    entry_id: str,
    rng: random.Random,
    entries: int = 1,
    settings: CoreSettings | None = None,
    document: dict[str, Any] | None = None,
) -> Core:
    """Return a core with a policy of two regions and a view of all entries."""
    policy = compile_policy(
        parse_policy(json.dumps(document or small_policy(entries=entries))), version=1
    )
    number = int(entry_id.rpartition("-")[2])
    region = "north" if number <= entries else "south"
    core = Core(entry_id, region, make_incarnation(number), rng, 0.0, settings)
    table = BlockTable.from_prefixes(policy.default_home, policy.homes_by_prefix)
    core.policy_accepted(policy, table.home, 0.0)
    core.view_changed(make_view(entries), 0.0)
    return core


class CoreDriver:
    """Sends requests to one core."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.request_count = 0

    def send_request(self, method: str, path: str, now: float = 0.0, **fields: Any) -> Any:
        """Send a request to the core; return its actions."""
        self.request_count += 1
        digest = hashlib.sha256(f"{method} {path}".encode()).digest()
        key = fields.pop("key", None)
        request = Request(
            f"r{self.request_count}", method, path, key, digest, 1, now + 60.0, **fields
        )
        return self.core.request_arrived(request, now, WALL)

    def key(self, incarnation: str | None = None) -> str:
        """Return a new key of the core's incarnation or of another one."""
        prefix = make_prefix(incarnation or self.core.keys.incarnation, int(WALL) + KEY_LIFETIME_S)
        return f"{prefix}.caller-{self.request_count:08d}"
