"""Estimated sizes and run times of tasks by service and team, from delayed usage reports."""

from collections import OrderedDict, deque

import attrs

from fescuecrank_core.declarations import Resources

# Recent reports kept for one service and team. The window follows a change of behaviour within 64
# tasks, and single outliers do not affect the quantiles that are used.
WINDOW_TASKS = 64
# The history that has been unused for longest is removed first.
MAX_HISTORIES = 4_096
# Finished tasks from which on declared values no longer count.
MIN_TRUSTED_SAMPLES = 12
# Too little memory kills tasks, so its size is a high quantile with a margin. Too little processor
# time only slows them down, and the peaks of the tasks of one worker rarely coincide.
MEMORY_QUANTILE, MEMORY_MARGIN = 0.95, 1.1
PROCESSOR_QUANTILE = 0.75
# Factor by which a declared value may exceed what the whole service uses, while the team itself has
# too few reports.
MAX_PRIOR_FACTOR = 1
# Key of the history of all teams of a service.
ALL_TEAMS = ""


@attrs.frozen
class Estimate:
    """Expected size and run time of one task; `samples` is the number of reports behind it."""

    need: Resources
    run_ms: int
    samples: int


@attrs.define(eq=False)
class _History:
    cpu_millis: deque[int] = attrs.field(factory=lambda: deque(maxlen=WINDOW_TASKS))
    memory_mb: deque[int] = attrs.field(factory=lambda: deque(maxlen=WINDOW_TASKS))
    run_ms: deque[int] = attrs.field(factory=lambda: deque(maxlen=WINDOW_TASKS))
    # Longest run time reported of an unfinished task, until enough tasks have finished.
    still_running_ms: int = 0
    estimate: tuple[int, int, int] | None = None


class Estimator:
    """Estimates that start from the declared values and converge to the observed ones.

    Until `MIN_TRUSTED_SAMPLES` tasks of a team have finished, a size is the larger of declared and
    observed, and a declared value counts up to `MAX_PRIOR_FACTOR` times what the whole service
    uses. Slots and accelerators are allocated whole, so their declared amounts are used.
    """

    def __init__(self) -> None:
        self._histories: OrderedDict[tuple[str, str], _History] = OrderedDict()

    def estimate(self, service: str, team: str, need: Resources, run_ms: int) -> Estimate:
        """Return the expected size and run time in place of the declared ones."""
        service_history = self._histories.get((service, ALL_TEAMS))
        prior = self._prior(service_history, need, run_ms)
        history = self._histories.get((service, team))
        if history is None:
            return prior
        cpu, memory, run = self._observed(history)
        samples = len(history.run_ms)
        if samples < MIN_TRUSTED_SAMPLES:
            cpu, memory = max(cpu, prior.need.cpu_millis), max(memory, prior.need.memory_mb)
            # The prior run time stands in for the missing samples.
            run = (
                run * samples + prior.run_ms * (MIN_TRUSTED_SAMPLES - samples)
            ) // MIN_TRUSTED_SAMPLES
            run = max(run, history.still_running_ms)
        expected = attrs.evolve(need, cpu_millis=cpu, memory_mb=memory)
        return Estimate(expected, max(1, run), samples)

    def _prior(self, service_history: _History | None, need: Resources, run_ms: int) -> Estimate:
        if service_history is None or len(service_history.run_ms) < MIN_TRUSTED_SAMPLES:
            return Estimate(need, run_ms, 0)
        cpu, memory, run = self._observed(service_history)
        cpu = min(MAX_PRIOR_FACTOR * cpu, max(cpu, need.cpu_millis))
        memory = min(MAX_PRIOR_FACTOR * memory, max(memory, need.memory_mb))
        run = min(MAX_PRIOR_FACTOR * run, max(run // MAX_PRIOR_FACTOR, run_ms))
        return Estimate(attrs.evolve(need, cpu_millis=cpu, memory_mb=memory), run, 0)

    def observe(
        self, service: str, team: str, used: Resources, run_ms: int, finished: bool
    ) -> None:
        """Add one report; the run time of an unfinished task is only a lower bound."""
        for name in (team, ALL_TEAMS):
            self._add(self._history((service, name)), used, run_ms, finished)

    @staticmethod
    def _add(history: _History, used: Resources, run_ms: int, finished: bool) -> None:
        history.estimate = None
        if not finished:
            history.still_running_ms = max(history.still_running_ms, run_ms)
            return
        history.cpu_millis.append(used.cpu_millis)
        history.memory_mb.append(used.memory_mb)
        history.run_ms.append(run_ms)
        if len(history.run_ms) >= MIN_TRUSTED_SAMPLES:
            history.still_running_ms = 0

    def _history(self, pair: tuple[str, str]) -> _History:
        history = self._histories.get(pair)
        if history is None:
            history = self._histories[pair] = _History()
            if len(self._histories) > MAX_HISTORIES:
                self._histories.popitem(last=False)
        self._histories.move_to_end(pair)
        return history

    @staticmethod
    def _observed(history: _History) -> tuple[int, int, int]:
        if history.estimate is None:
            history.estimate = (
                _quantile(history.cpu_millis, PROCESSOR_QUANTILE),
                int(_quantile(history.memory_mb, MEMORY_QUANTILE) * MEMORY_MARGIN),
                _quantile(history.run_ms, 0.5),
            )
        return history.estimate


def _quantile(values: deque[int], fraction: float) -> int:
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
