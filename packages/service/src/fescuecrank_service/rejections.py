"""Log lines about entries that a decoder rejected, one for each entry and reason."""

from collections import Counter

import attrs
from fescuecrank_scheduler.events import RejectedEntry

from fescuecrank_service.log_lines import JsonLineLogger

# Entries whose last reason is remembered; of more, some are logged again when they are read again.
MAX_REMEMBERED = 1_000


@attrs.define
class RejectionLog:
    """Logs and counts the rejected entries of one source."""

    source: str
    log: JsonLineLogger
    counts: Counter
    # Offset and reason of each entry as last logged or counted.
    _known: dict[str, tuple[int, str]] = attrs.field(factory=dict)

    def note(self, rejected: tuple[RejectedEntry, ...]) -> None:
        """Count the rejected entries that are new, and log those with another reason."""
        for entry in rejected:
            offset, reason = self._known.pop(entry.key, (-1, ""))
            self._known[entry.key] = (entry.offset, entry.reason)
            if entry.offset != offset:
                self.counts[self.source] += 1
            if entry.reason != reason:
                fields = {
                    "source": self.source,
                    "key": entry.key,
                    "offset": entry.offset,
                    "field": entry.field,
                    "reason": entry.reason,
                }
                self.log.write("entry_rejected", fields)
        while len(self._known) > MAX_REMEMBERED:
            del self._known[next(iter(self._known))]
