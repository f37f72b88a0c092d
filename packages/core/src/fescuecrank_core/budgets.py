"""Availability budgets: how many instances of a pool may be out, in total and by failure domain."""

import enum
from collections import Counter
from collections.abc import Mapping

import attrs

from fescuecrank_core.declarations import Profile


class OutReason(enum.StrEnum):
    """Why an instance takes no work; all reasons count against the same budget."""

    PLANNED = "planned"
    FAILED = "failed"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"


@attrs.frozen
class Domain:
    """Failure domains of one instance. Rack names are unique within a data centre only."""

    rack: str
    data_centre: str

    @property
    def rack_id(self) -> tuple[str, str]:
        """Return a key of the rack that is unique in the fleet."""
        return (self.data_centre, self.rack)


class OutCounts:
    """Numbers of instances that are out: in total, by rack, by data centre and by reason.

    An instance with an unknown domain counts in the total only.
    """

    def __init__(self, domains: Mapping[str, Domain], out: Mapping[str, OutReason]) -> None:
        self.total = 0
        self.racks: Counter[tuple[str, str]] = Counter()
        self.data_centres: Counter[str] = Counter()
        self.reasons: Counter[OutReason] = Counter()
        for worker, reason in out.items():
            self.add(domains.get(worker), reason)

    def add(self, domain: Domain | None, reason: OutReason, step: int = 1) -> None:
        """Count one more instance as out, or one fewer if `step` is -1."""
        self.total += step
        self.reasons[reason] += step
        if domain is None:
            return
        self.racks[domain.rack_id] += step
        self.data_centres[domain.data_centre] += step


class Budget:
    """Limits of one pool, from its profile.

    Failures cannot be prevented, so they may exceed the budget. Every voluntary outage must pass
    `refusal` first. Planned work (maintenance, operators' drains, moves) also leaves the profile's
    `failure_reserve` free; other voluntary outages, such as quarantine, may use the reserve.
    """

    def __init__(self, profile: Profile) -> None:
        self.profile = profile
        self._domain_limits = (
            ("max_out_per_rack", profile.max_out_per_rack),
            ("max_out_per_data_centre", profile.max_out_per_data_centre),
        )

    @property
    def planned_limit(self) -> int:
        """Number of instances out in total from which planned work is refused."""
        return max(0, self.profile.max_out - self.profile.failure_reserve)

    def refusal(
        self,
        worker: str,
        domains: Mapping[str, Domain],
        out: Mapping[str, OutReason],
        planned: bool,
    ) -> str | None:
        """Return the rule that keeps `worker` in service, or None if it may go out now.

        `domains` holds all instances of the pool and `out` those that are out. A worker that has
        failed is checked as if it were in service, since planned work would keep it out for longer.
        """
        if out.get(worker) is OutReason.PLANNED:
            return None
        counts = OutCounts(domains, out)
        if worker in out:
            counts.add(domains.get(worker), out[worker], -1)
        return self.refusal_by_counts(domains.get(worker), counts, planned)

    def refusal_by_counts(
        self, domain: Domain | None, counts: OutCounts, planned: bool
    ) -> str | None:
        """Return the rule that forbids one more instance of `domain` out besides `counts`."""
        return self._refusal_in_total(counts, planned) or self._refusal_in_domain(domain, counts)

    def _refusal_in_total(self, counts: OutCounts, planned: bool) -> str | None:
        limit = self.planned_limit if planned else self.profile.max_out
        if counts.total < limit:
            return None
        text = f"max_out: {counts.total} of {self.profile.max_out} instances are out"
        text += _by_reason(counts)
        if planned and counts.total < self.profile.max_out:
            reserve = self.profile.failure_reserve
            text = f"failure_reserve: planned work leaves {reserve} of max_out free; {text}"
        return text

    def _refusal_in_domain(self, domain: Domain | None, counts: OutCounts) -> str | None:
        if domain is None:
            return "the rack and data centre of the worker are unknown"
        used = (counts.racks[domain.rack_id], counts.data_centres[domain.data_centre])
        places = (f"rack {domain.rack}", f"data centre {domain.data_centre}")
        for (rule, limit), count, place in zip(self._domain_limits, used, places, strict=True):
            if count >= limit:
                return f"{rule}: {count} of {limit} instances are out in {place}"
        return None


def _by_reason(counts: OutCounts) -> str:
    parts = [f"{counts.reasons[reason]} {reason}" for reason in OutReason if counts.reasons[reason]]
    return f" ({', '.join(parts)})" if parts else ""
