"""Log lines about the streams of the store: lost, failing in another way, read slowly, regained.

The first failure alone does not tell why a stream stays away: the store may refuse the reads at
first, and later they exceed their time-out.
"""

from collections import Counter

import attrs
from fescuecrank_core.clock import Clock
from fescuecrank_core.errors import Failure

from fescuecrank_service.log_lines import JsonLineLogger
from fescuecrank_service.topic_reader import Reading

# Least time between two lines about one stream that fails or is read slowly.
LINE_INTERVAL_MS = 1_000

# Reasons that are told apart while a stream fails.
MAX_REASONS = 8
OTHER_REASON = "other"

# Longest time between two lines while a stream goes on failing in the same way.
REMINDER_INTERVAL_MS = 5_000


@attrs.define
class Outage:
    """Failures of one stream since its last read that succeeded."""

    since_ms: int
    reason: str
    logged_ms: int
    logged_reasons: set[str]
    count_by_reason: Counter = attrs.field(factory=Counter)


@attrs.define
class StreamHealth:
    """Which streams fail, and how."""

    clock: Clock
    log: JsonLineLogger
    _outages: dict[str, Outage] = attrs.field(factory=dict)
    # The read in progress as it was when it began or was logged last, and when that was, by stream.
    _readings: dict[str, tuple[int, Reading]] = attrs.field(factory=dict)

    def on_failure(self, name: str, failure: Failure) -> None:
        """Note a read that failed."""
        now_ms = self.clock.now().mono_ms
        reason = str(failure)
        outage = self._outages.get(name)
        if outage is not None and len(outage.count_by_reason) >= MAX_REASONS:
            reason = reason if reason in outage.count_by_reason else OTHER_REASON
        if outage is None:
            outage = self._outages[name] = Outage(now_ms, reason, now_ms, {reason})
            outage.count_by_reason[reason] += 1
            self.log.write("stream_lost", {"stream": name, "reason": reason})
            return
        outage.count_by_reason[reason] += 1
        changed = reason not in outage.logged_reasons
        quiet_ms = now_ms - outage.logged_ms
        if quiet_ms >= (LINE_INTERVAL_MS if changed else REMINDER_INTERVAL_MS):
            outage.logged_ms = now_ms
            outage.logged_reasons.add(reason)
            fields = {"stream": name, "reason": reason, **self._summary(outage, now_ms)}
            self.log.write("stream_failing", fields)

    def on_success(self, name: str) -> None:
        """Note a read that succeeded."""
        self._readings.pop(name, None)
        outage = self._outages.pop(name, None)
        if outage is not None:
            now_ms = self.clock.now().mono_ms
            self.log.write("stream_regained", {"stream": name, **self._summary(outage, now_ms)})

    def on_reading(self, reading: Reading) -> None:
        """Note bytes of a response; a long read says once a second how far it has got."""
        now_ms = self.clock.now().mono_ms
        since_ms, before = self._readings.get(reading.stream, (now_ms, None))
        if before is None or before.number != reading.number:
            self._readings[reading.stream] = (now_ms, reading)
        elif now_ms - since_ms >= LINE_INTERVAL_MS:
            self._readings[reading.stream] = (now_ms, reading)
            fields = {
                "stream": reading.stream,
                "offset": reading.offset,
                "records": reading.records,
                "received": reading.received,
                "since_received": before.received,
                "since_ms": now_ms - since_ms,
            }
            self.log.write("stream_reading", fields)

    @staticmethod
    def _summary(outage: Outage, now_ms: int) -> dict[str, object]:
        return {
            "lost_ms": now_ms - outage.since_ms,
            "failures": outage.count_by_reason.total(),
            "reasons": dict(outage.count_by_reason),
        }
