"""Learned sizes and run times by service and team, from lagging usage reports."""

from collections import OrderedDict, deque

import attrs

from fescuecrank_core.declarations import Resources

# Recent reports kept for one service and team. A window follows a change of behaviour within 64
# tasks, and single outliers fall outside the quantiles that are used.
WINDOW = 64
# Pairs of service and team kept; the one unused for longest goes first.
MAX_PAIRS = 4_096
# Finished tasks after which the declared values no longer count.
TRUSTED_AFTER = 12
# Sizes use a high quantile with a margin, since too small a size overloads the worker.
SIZE_QUANTILE = 0.95
SIZE_MARGIN = 1.1


@attrs.frozen
class Estimate:
    """Expected size and run time of one task; `samples` is the number of reports behind it."""

    need: Resources
    run_ms: int
    samples: int


@attrs.define(eq=False)
class _History:
    cpu_millis: deque[int] = attrs.field(factory=lambda: deque(maxlen=WINDOW))
    memory_mb: deque[int] = attrs.field(factory=lambda: deque(maxlen=WINDOW))
    run_ms: deque[int] = attrs.field(factory=lambda: deque(maxlen=WINDOW))
    # Longest time that an unfinished task has been seen running, until enough tasks have finished.
    still_running_ms: int = 0
    estimate: tuple[int, int, int] | None = None


class Estimator:
    """Estimates that start from the declared values and converge to the observed ones.

    Until `TRUSTED_AFTER` tasks have finished, a size is the larger of declared and observed. Slots
    and accelerators are allocated whole, so their declared amounts stand.
    """

    def __init__(self) -> None:
        self._pairs: OrderedDict[tuple[str, str], _History] = OrderedDict()

    def expect(self, service: str, team: str, need: Resources, run_ms: int) -> Estimate:
        """Return the expected size and run time in place of the declared ones."""
        history = self._pairs.get((service, team))
        if history is None or not (history.cpu_millis or history.still_running_ms):
            return Estimate(need, run_ms, 0)
        cpu, memory, run = self._learned(history)
        samples = len(history.run_ms)
        if samples < TRUSTED_AFTER:
            cpu, memory = max(cpu, need.cpu_millis), max(memory, need.memory_mb)
            # The declared run time counts as the missing samples.
            run = (run * samples + run_ms * (TRUSTED_AFTER - samples)) // TRUSTED_AFTER
            run = max(run, history.still_running_ms)
        learned = attrs.evolve(need, cpu_millis=cpu, memory_mb=memory)
        return Estimate(learned, max(1, run), samples)

    def observe(
        self, service: str, team: str, used: Resources, run_ms: int, finished: bool
    ) -> None:
        """Add one report; the run time of an unfinished task is only a lower bound."""
        history = self._history((service, team))
        history.estimate = None
        if not finished:
            history.still_running_ms = max(history.still_running_ms, run_ms)
            return
        history.cpu_millis.append(used.cpu_millis)
        history.memory_mb.append(used.memory_mb)
        history.run_ms.append(run_ms)
        if len(history.run_ms) >= TRUSTED_AFTER:
            history.still_running_ms = 0

    def _history(self, pair: tuple[str, str]) -> _History:
        history = self._pairs.get(pair)
        if history is None:
            history = self._pairs[pair] = _History()
            if len(self._pairs) > MAX_PAIRS:
                self._pairs.popitem(last=False)
        self._pairs.move_to_end(pair)
        return history

    @staticmethod
    def _learned(history: _History) -> tuple[int, int, int]:
        if history.estimate is None:
            history.estimate = (
                int(_quantile(history.cpu_millis, SIZE_QUANTILE) * SIZE_MARGIN),
                int(_quantile(history.memory_mb, SIZE_QUANTILE) * SIZE_MARGIN),
                _quantile(history.run_ms, 0.5),
            )
        return history.estimate


def _quantile(values: deque[int], fraction: float) -> int:
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
