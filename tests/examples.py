"""Example documents for tests."""

from typing import Any

__all__ = ["small_policy"]


def small_policy(targets: int = 2, entries: int = 2) -> dict[str, Any]:
    """Return a policy with two regions.

    Parameters
    ----------
    targets : int
        Number of targets per service and region.
    entries : int
        Number of entries per region.
    """
    regions = ("north", "south")
    document: dict[str, Any] = {
        "user": "example",
        "regions": {
            "north": _region("north", ["south"]),
            "south": _region("south", ["north"]),
        },
        "services": {
            "times": {"path": "/times", "rules": [{"path": "/"}]},
            "booking": {
                "path": "/booking",
                "rules": [
                    {
                        "methods": ["POST"],
                        "path": "/",
                        "kind": "once_only",
                        "priority": "once_only",
                    },
                    {"path": "/"},
                ],
            },
        },
        "targets": {},
        "entries": {},
        "caps": {
            "planned": {"requests_per_window": 20},
            "emergency": {"requests_per_window": 40},
            "return": {"requests_per_window": 10},
        },
        "blocks": {"default": "north", "by_prefix": {"10.2.0.0/16": "south"}},
    }
    for r, region in enumerate(regions):
        for n in range(entries):
            document["entries"][f"entry-{r * entries + n + 1}"] = {"zone": f"{region}-a"}
        for s, service in enumerate(document["services"]):
            for n in range(targets):
                document["targets"][f"{service}-{region}-{n + 1}"] = {
                    "service": service,
                    "zone": f"{region}-{'ab'[n % 2]}",
                    "host": "127.0.0.1",
                    "port": 9000 + 100 * r + 10 * s + n,
                }
    return document


def _region(name: str, spill_to: list[str]) -> dict[str, Any]:
    return {
        "zones": [f"{name}-a", f"{name}-b"],
        "in_flight_limit": 12,
        "link_bytes_per_s": 1_000_000,
        "spill_to": spill_to,
    }
