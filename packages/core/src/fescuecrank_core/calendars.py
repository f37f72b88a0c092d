"""School calendars: demand factors, maintenance windows and the times at which they change.

Periods may overlap. The shortest period that contains a day sets its demand factor, since an exam
week within a term, or a public holiday within an exam week, is more specific; among equally short
periods the highest factor applies. Maintenance is allowed only if all periods that contain the day
allow it: a holiday declared with default values must not open a window within an exam week.
"""

import functools
from datetime import date

import attrs

from fescuecrank_core.declarations import Calendar, Period

DAY_MS = 86_400_000
ORDINARY_FACTOR = 1.0
_EPOCH = date(1970, 1, 1).toordinal()


@attrs.frozen
class _Span:
    """A period as day numbers since the Unix epoch, both inclusive."""

    first: int
    last: int
    period: Period


def demand_factor(calendar: Calendar, wall_ms: int) -> float:
    """Return the demand relative to an ordinary day at `wall_ms`."""
    spans = _spans_at(calendar, wall_ms)
    if not spans:
        return ORDINARY_FACTOR
    deciding = min(spans, key=lambda span: (span.last - span.first, -span.period.demand_factor))
    return deciding.period.demand_factor


def maintenance_allowed(calendar: Calendar, wall_ms: int) -> bool:
    """Return whether maintenance waves may run at `wall_ms`."""
    return all(span.period.maintenance for span in _spans_at(calendar, wall_ms))


def next_change(calendar: Calendar, wall_ms: int) -> int | None:
    """Return the next time at which the factor or the maintenance permission changes, or None."""
    now = (demand_factor(calendar, wall_ms), maintenance_allowed(calendar, wall_ms))
    for boundary_ms in _boundaries(calendar):
        if boundary_ms <= wall_ms:
            continue
        if (
            demand_factor(calendar, boundary_ms),
            maintenance_allowed(calendar, boundary_ms),
        ) != now:
            return boundary_ms
    return None


def peak_factor(calendar: Calendar, from_wall_ms: int, until_wall_ms: int) -> float:
    """Return the highest demand factor between two times, both inclusive."""
    boundaries = (
        boundary for boundary in _boundaries(calendar) if from_wall_ms < boundary <= until_wall_ms
    )
    return max(demand_factor(calendar, time_ms) for time_ms in (from_wall_ms, *boundaries))


def period_problems(calendar: Calendar) -> list[str]:
    """Return the problems of the periods; the other functions ignore malformed periods."""
    problems = []
    for period in calendar.periods:
        span = _span(period)
        if span is None:
            problems.append(f"{period.name}: dates must have the form YYYY-MM-DD")
        elif span.last < span.first:
            problems.append(f"{period.name}: last_day lies before first_day")
    return problems


def _spans_at(calendar: Calendar, wall_ms: int) -> list[_Span]:
    day = (wall_ms + _offset_ms(calendar)) // DAY_MS
    return [span for span in _spans(calendar) if span.first <= day <= span.last]


def _offset_ms(calendar: Calendar) -> int:
    return calendar.utc_offset_minutes * 60_000


@functools.lru_cache(maxsize=256)
def _spans(calendar: Calendar) -> tuple[_Span, ...]:
    spans = (_span(period) for period in calendar.periods)
    return tuple(span for span in spans if span is not None)


@functools.lru_cache(maxsize=256)
def _boundaries(calendar: Calendar) -> tuple[int, ...]:
    days = {day for span in _spans(calendar) for day in (span.first, span.last + 1)}
    return tuple(day * DAY_MS - _offset_ms(calendar) for day in sorted(days))


def _span(period: Period) -> _Span | None:
    try:
        first, last = (
            date.fromisoformat(day).toordinal() - _EPOCH
            for day in (period.first_day, period.last_day)
        )
    except ValueError:
        return None
    return _Span(first, last, period)
