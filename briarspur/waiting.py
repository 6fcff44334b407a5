"""Requests that wait for a slot: by priority, then by arrival, in a bounded number."""

from collections import deque

from briarspur.messages import Priority
from briarspur.work import Work

__all__ = ["Waiting"]


class Waiting:
    """The queue of one service at one entry.

    Parameters
    ----------
    limit : int
        Requests that may wait.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._queues: dict[Priority, deque[Work]] = {priority: deque() for priority in Priority}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def ahead_of(self, priority: Priority) -> int:
        """Return how many requests would be served before a new one of this priority."""
        return sum(len(queue) for p, queue in self._queues.items() if p <= priority)

    def push(self, work: Work) -> Work | None:
        """Append a request; return the one that has to go for it, which may be itself."""
        self._queues[work.priority].append(work)
        work.queued = True
        self._size += 1
        if self._size <= self._limit:
            return None
        lowest = max(p for p, queue in self._queues.items() if queue)
        return self._taken(self._queues[lowest].pop())

    def pop(self) -> Work | None:
        """Take the first request of the highest priority that has any."""
        for queue in self._queues.values():
            if queue:
                return self._taken(queue.popleft())
        return None

    def push_front(self, work: Work) -> None:
        """Put back a request that was just taken."""
        self._queues[work.priority].appendleft(work)
        work.queued = True
        self._size += 1

    def remove(self, work: Work) -> None:
        """Take out a request wherever it stands."""
        if work.queued:
            self._queues[work.priority].remove(work)
            self._taken(work)

    def first_priority(self) -> Priority:
        """Return the highest priority that waits; the lowest there is if none waits."""
        return next((p for p, queue in self._queues.items() if queue), Priority.BULK)

    def hopeless(self, now: float, waits: list[float], latency: float) -> list[Work]:
        """Take out the requests that would not be answered by their deadlines.

        Parameters
        ----------
        waits : list of float
            Seconds until a request with as many others before it as the index gets a slot.
        latency : float
            Seconds from getting a slot to the answer.
        """
        ordered = [work for queue in self._queues.values() for work in queue]
        late: list[Work] = []
        for position, work in enumerate(ordered):
            # Those found late before this one will not be served, so it moves up by their number.
            if now + waits[position - len(late)] + latency >= work.deadline:
                late.append(work)
        for work in late:
            self.remove(work)
        return late

    def _taken(self, work: Work) -> Work:
        work.queued = False
        self._size -= 1
        return work
