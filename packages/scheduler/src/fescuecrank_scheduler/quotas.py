"""Resource limits of teams across all pools."""

import attrs

from fescuecrank_scheduler.fleet import NO_RESOURCES, Resources, Team


@attrs.define
class Usage:
    """Resources in use by each team, including planned runs and runs that are being stopped."""

    _used: dict[str, Resources] = attrs.field(factory=dict)

    def add(self, team: str, need: Resources) -> None:
        """Count a run, from the moment at which it is planned."""
        self._used[team] = self._used.get(team, NO_RESOURCES).plus(need)

    def remove(self, team: str, need: Resources) -> None:
        """Stop counting a run whose end is known."""
        self._used[team] = self._used.get(team, NO_RESOURCES).minus(need)

    def used(self, team: str) -> Resources:
        """Return the resources that a team's runs use."""
        return self._used.get(team, NO_RESOURCES)

    def room(self, team: Team | None, need: Resources, count: int) -> int:
        """Return how many of `count` more tasks stay within the team's limit."""
        if team is None:
            return count
        used, limit = self.used(team.name), team.limit
        for each, of_limit, of_used in (
            (need.cpu, limit.cpu, used.cpu),
            (need.mem_mb, limit.mem_mb, used.mem_mb),
            (need.gpu, limit.gpu, used.gpu),
        ):
            if of_limit and of_used + each * count > of_limit:
                count = max(0, (of_limit - of_used) // each) if each else 0
        return count
