"""A bounded queue of requests that wait for a slot, ordered by priority, then by arrival."""

from collections import deque

from briarspur.messages import Priority
from briarspur.work import Work

__all__ = ["WaitQueue"]


class WaitQueue:
    """The queue of one service on one entry.

    Parameters
    ----------
    limit : int
        Maximum number of queued requests.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._queues: dict[Priority, deque[Work]] = {priority: deque() for priority in Priority}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def ahead_of(self, priority: Priority) -> int:
        """Return how many requests would be served before a new one with this priority."""
        return sum(len(queue) for p, queue in self._queues.items() if p <= priority)

    def push(self, work: Work) -> Work | None:
        """Append a request; return the one evicted if the queue was full, possibly itself."""
        self._queues[work.priority].append(work)
        work.queued = True
        self._size += 1
        if self._size <= self._limit:
            return None
        lowest = max(p for p, queue in self._queues.items() if queue)
        return self._mark_removed(self._queues[lowest].pop())

    def pop(self) -> Work | None:
        """Remove and return the first request of the highest priority present."""
        for queue in self._queues.values():
            if queue:
                return self._mark_removed(queue.popleft())
        return None

    def push_front(self, work: Work) -> None:
        """Put back a request that was just popped."""
        self._queues[work.priority].appendleft(work)
        work.queued = True
        self._size += 1

    def remove(self, work: Work) -> None:
        """Remove a request from any position, if it is queued."""
        if work.queued:
            self._queues[work.priority].remove(work)
            self._mark_removed(work)

    def first_priority(self) -> Priority:
        """Return the highest priority present, or the lowest one, BULK, if the queue is empty."""
        return next((p for p, queue in self._queues.items() if queue), Priority.BULK)

    def remove_late(self, now: float, expected_waits: list[float], latency: float) -> list[Work]:
        """Remove and return the requests that would not be answered by their deadlines.

        Parameters
        ----------
        expected_waits : list of float
            Seconds until a request gets a slot; the index is the number of requests before it.
        latency : float
            Seconds from getting a slot to the answer.
        """
        ordered = [work for queue in self._queues.values() for work in queue]
        late: list[Work] = []
        for position, work in enumerate(ordered):
            # Late requests before this one will not be served, so it moves up by their number.
            if now + expected_waits[position - len(late)] + latency >= work.deadline:
                late.append(work)
        for work in late:
            self.remove(work)
        return late

    def _mark_removed(self, work: Work) -> Work:
        work.queued = False
        self._size -= 1
        return work
