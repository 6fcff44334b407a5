"""Working times of requests at backend servers, learned from the entry's own traffic."""

from dataclasses import dataclass, field

__all__ = ["RouteMeans", "WorkTimes"]

SAMPLE_WEIGHT = 0.1
"""Share of a new sample in a mean; about 20 samples then outweigh the initial estimate."""
MISMATCH_WEIGHT = 0.02
"""Share of a new sample in the mean of the kind that was expected but that it doesn't match."""
INITIAL_WARM_SHARE = 0.5
"""Initial estimate of the time for a warm object, as a share of the route's goal."""
INITIAL_COLD_SHARE = 1.4
"""Initial estimate of the time for a cold object, as a share of the route's goal."""
MIN_TIME_S = 0.001
"""Lower bound of samples, since other times are divided by the means."""


@dataclass(slots=True)
class RouteMeans:
    """Means of one route: warm and cold working times in seconds, answer size in bytes."""

    warm: float
    cold: float
    size: float = 0.0

    def expected(self, warm: bool) -> float:
        """Return the mean working time for a warm or a cold object."""
        return self.warm if warm else self.cold

    def learn_size(self, size: int) -> None:
        """Add the size of one answer to the mean."""
        self.size = size if self.size == 0.0 else self.size + SAMPLE_WEIGHT * (size - self.size)

    def seems_warm(self, seconds: float) -> bool:
        """Return whether a request that took so long probably found its object warm."""
        return seconds < (self.warm + self.cold) / 2.0

    def learn(self, seconds: float, warm: bool) -> None:
        """Add the time of one request that did not queue to the means.

        Parameters
        ----------
        warm : bool
            Whether the object was expected to be warm. A sample that looks like the other kind
            counts for that kind, and a little for its own: servers evict objects, and one wrong
            expectation in five would raise the warm mean by half.
        """
        sample = max(seconds, MIN_TIME_S)
        seemed = self.seems_warm(seconds)
        own = SAMPLE_WEIGHT if seemed == warm else MISMATCH_WEIGHT
        other = 0.0 if seemed == warm else SAMPLE_WEIGHT
        self.warm += (own if warm else other) * (sample - self.warm)
        self.cold += (other if warm else own) * (sample - self.cold)
        # Warm requests are never slower; samples of a few cold servers must not reverse that.
        self.cold = max(self.cold, self.warm)


@dataclass(slots=True)
class WorkTimes:
    """Mean working times by route and by service."""

    by_route: dict[str, RouteMeans] = field(default_factory=dict)
    mean_by_service: dict[str, float] = field(default_factory=dict)

    def route(self, name: str, goal: float) -> RouteMeans:
        """Return the route's means; those of a new route are estimated from its goal in seconds."""
        work = self.by_route.get(name)
        if work is None:
            work = RouteMeans(goal * INITIAL_WARM_SHARE, goal * INITIAL_COLD_SHARE)
            self.by_route[name] = work
        return work

    def service_mean(self, service: str, default: float) -> float:
        """Return the mean time of a request at the service, in seconds."""
        return self.mean_by_service.get(service, default)

    def learn_mean(self, service: str, seconds: float) -> None:
        """Add the time of one request to the service's mean."""
        old = self.mean_by_service.get(service)
        value = max(seconds, MIN_TIME_S)
        self.mean_by_service[service] = (
            value if old is None else old + SAMPLE_WEIGHT * (value - old)
        )
