"""Times at which something is due for each of many keys, such as the next hold of each worker.

The leader looks for what is due after every event. Looking at every worker made the cost of an
event grow with the fleet.
"""

import heapq
from collections.abc import Iterator

import attrs


@attrs.define
class Deadlines:
    """The time at which each key is due, in ms of the monotonic clock."""

    _due_ms: dict[str, int] = attrs.field(factory=dict)
    # Entries whose time is no longer that of their key are skipped.
    _heap: list[tuple[int, str]] = attrs.field(factory=list)

    def set(self, key: str, due_ms: int) -> None:
        """Set when `key` is due, in place of an earlier setting."""
        if self._due_ms.get(key) != due_ms:
            self._due_ms[key] = due_ms
            heapq.heappush(self._heap, (due_ms, key))

    def discard(self, key: str) -> None:
        """Remove `key`, if it is set."""
        self._due_ms.pop(key, None)

    def next_due_ms(self) -> int | None:
        """Return the earliest time, or None if no key is set."""
        while self._heap and self._due_ms.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_ms: int) -> Iterator[str]:
        """Remove and yield the keys that are due, the earliest first."""
        while (due_ms := self.next_due_ms()) is not None and due_ms <= now_ms:
            _, key = heapq.heappop(self._heap)
            del self._due_ms[key]
            yield key
