"""Configuration that operators publish: queues, pools, teams and maintenance waves."""

import attrs


@attrs.frozen
class Resources:
    """Amounts of CPU in thousandths of a core, memory in MiB and GPUs."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu)

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; it may be negative."""
        return Resources(self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu)

    def fits(self, available: "Resources") -> bool:
        """Return whether this amount is at most `available` in every resource."""
        return (
            self.cpu <= available.cpu
            and self.mem_mb <= available.mem_mb
            and self.gpu <= available.gpu
        )


NO_RESOURCES = Resources()


@attrs.frozen
class Queue:
    """A queue of jobs, with its route and the pool whose workers run them."""

    name: str
    host: str
    prefix: str
    pool: str
    # 0 is the most urgent.
    priority: int = 0
    max_attempts: int = 1
    # A job is on time if it ends within `stretch` times its critical path plus `objective_ms`.
    stretch: float = 1.0
    objective_ms: int = 0
    timeout_ms: int = 0
    # Open queues accept jobs without an API key.
    is_open: bool = False
    # Steps run only on workers for which the advice service issues a ticket.
    needs_advice: bool = False


@attrs.frozen
class Pool:
    """A pool of instances with the same purpose."""

    name: str
    # Whether workers refuse starts that exceed their capacity.
    admission_check: bool = True
    # Instances in a standby pool are switched off and cost nothing.
    standby: bool = False


@attrs.frozen
class Team:
    """A team with its API keys, its weight when the fleet is full and its resource limit."""

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    # A resource with the value 0 has no limit.
    limit: Resources = NO_RESOURCES


@attrs.frozen
class Wave:
    """A maintenance wave: instances to be taken down, at most `cap` of them at a time."""

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    cap: int


@attrs.frozen
class FleetConfig:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    pools: dict[str, Pool] = attrs.field(factory=dict)
    teams: dict[str, Team] = attrs.field(factory=dict)
    max_body_bytes: int = 262_144
    _by_host: dict[str, tuple[Queue, ...]] = attrs.field(init=False, eq=False, repr=False)
    _by_name: dict[str, Queue] = attrs.field(init=False, eq=False, repr=False)
    _team_by_key: dict[str, Team] = attrs.field(init=False, eq=False, repr=False)

    @_by_host.default
    def _index_hosts(self) -> dict[str, tuple[Queue, ...]]:
        hosts: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues, key=lambda queue: -len(queue.prefix)):
            hosts.setdefault(queue.host, []).append(queue)
        return {host: tuple(queues) for host, queues in hosts.items()}

    @_by_name.default
    def _index_names(self) -> dict[str, Queue]:
        return {queue.name: queue for queue in self.queues}

    @_team_by_key.default
    def _index_keys(self) -> dict[str, Team]:
        return {key: team for team in self.teams.values() for key in team.keys}

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for `path` on `host`, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def queue(self, name: str) -> Queue | None:
        """Return the queue called `name`, or None if this version has none."""
        return self._by_name.get(name)

    def team_for_key(self, key: str) -> Team | None:
        """Return the team that holds `key`, or None."""
        return self._team_by_key.get(key)


EMPTY_CONFIG = FleetConfig(version=-1)
