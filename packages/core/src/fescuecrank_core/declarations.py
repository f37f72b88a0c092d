"""Declarations that operators publish: profiles, pools, services, teams and calendars.

The metadata of each field holds its unit, range and description. The loader, the JSON Schema and
the reference page are derived from this metadata.
"""

import enum
from typing import Any

import attrs

METADATA_KEY = "fescuecrank"


@attrs.frozen
class FieldInfo:
    """Description of one declared field: unit, inclusive bounds and one sentence of help."""

    doc: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None


def described(
    doc: str,
    *,
    default: Any = attrs.NOTHING,
    factory: Any = None,
    unit: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
) -> Any:
    """Return an attrs field that carries a `FieldInfo`."""
    metadata = {METADATA_KEY: FieldInfo(doc, unit, minimum, maximum)}
    if factory is not None:
        return attrs.field(factory=factory, metadata=metadata)
    return attrs.field(default=default, metadata=metadata)


class RequestClass(enum.StrEnum):
    """Priority of a request within its team: urgent before quick before archival."""

    URGENT = "urgent"
    QUICK = "quick"
    ARCHIVAL = "archival"


@attrs.frozen
class Resources:
    """An amount of each resource that a task needs or a worker has."""

    cpu_millis: int = described(
        "Processor time.", default=0, unit="1/1000 core", minimum=0, maximum=10_000_000
    )
    memory_mb: int = described("Memory.", default=0, unit="MB", minimum=0, maximum=100_000_000)
    accelerators: int = described(
        "Whole accelerators.", default=0, unit="accelerators", minimum=0, maximum=1_000
    )
    slots: int = described("Task slots.", default=1, unit="slots", minimum=0, maximum=10_000)

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits_in(self, other: "Resources") -> bool:
        """Return whether each amount is at most that of `other`."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
            and self.slots <= other.slots
        )


NO_RESOURCES = Resources(slots=0)


@attrs.frozen
class Weights:
    """Weights of the measures that decisions trade off; only their ratios matter."""

    share_closeness: float = described(
        "Weight of closeness to shares at full load.", default=1.0, minimum=0, maximum=100
    )
    roll_out_time: float = described(
        "Weight of the time that a maintenance wave takes.", default=1.0, minimum=0, maximum=100
    )
    buffer_cost: float = described(
        "Weight of the cost of idle instances kept in reserve.", default=1.0, minimum=0, maximum=100
    )
    moves: float = described(
        "Weight of moving an instance between pools.", default=1.0, minimum=0, maximum=100
    )


@attrs.frozen
class Profile:
    """Capacity needs, availability budget and sharing rules of one kind of service."""

    name: str = described("Unique name.")
    need: Resources = described("Default size of one task.", factory=Resources)
    expected_run_ms: int = described(
        "Default run time of one task.", default=1_000, unit="ms", minimum=1, maximum=86_400_000
    )
    max_out: int = described(
        "Instances of a pool that may be out at once, for any reason.",
        default=1,
        unit="instances",
        minimum=0,
        maximum=100_000,
    )
    max_out_per_data_centre: int = described(
        "Instances of a pool that may be out at once in one data centre.",
        default=1,
        unit="instances",
        minimum=0,
        maximum=100_000,
    )
    max_out_per_rack: int = described(
        "Instances of a pool that may be out at once in one rack.",
        default=1,
        unit="instances",
        minimum=0,
        maximum=100_000,
    )
    failure_reserve: int = described(
        "Part of the budget that planned maintenance leaves free for failures.",
        default=0,
        unit="instances",
        minimum=0,
        maximum=100_000,
    )
    quick_floor: float = described(
        "Minimum fraction of a team's slots for urgent and quick work while both kinds wait.",
        default=0.5,
        minimum=0,
        maximum=1,
    )
    archival_floor: float = described(
        "Minimum fraction of a team's slots for archival work while both kinds wait.",
        default=0.1,
        minimum=0,
        maximum=1,
    )
    max_queue: int = described(
        "Requests that may wait in one cell before new ones are refused.",
        default=10_000,
        unit="requests",
        minimum=1,
        maximum=10_000_000,
    )
    weights: Weights = described("Weights of the four measures.", factory=Weights)


@attrs.frozen
class Pool:
    """A set of workers that one or more services run on."""

    name: str = described("Unique name.")
    profile: str = described("Name of the profile whose outage budget applies to this pool.")
    workers: tuple[str, ...] = described(
        "Names of the workers that have this pool as their home pool; `name-[1-6]` is a range.",
        factory=tuple,
    )
    spare: bool = described("Whether other pools may borrow instances of this one.", default=False)
    min_workers: int = described(
        "Minimum number of instances that remain when instances move to other pools.",
        default=0,
        unit="instances",
        minimum=0,
        maximum=100_000,
    )
    calendar: str = described("Name of the calendar that predicts demand, if any.", default="")


@attrs.frozen
class Service:
    """A named destination of requests, which runs on one pool."""

    name: str = described("Unique name.")
    pool: str = described("Name of the pool that runs it.")
    profile: str = described("Name of its profile.")
    open_to_all: bool = described("Whether requests need no key.", default=False)
    open_team: str = described("Team to which requests without a key are charged.", default="")


@attrs.frozen
class Team:
    """A customer with a share and an upper limit."""

    name: str = described("Unique name.")
    share: float = described(
        "Weight of the team when demand exceeds capacity.", minimum=0, maximum=1_000_000
    )
    limit: int = described(
        "Upper limit of slots in use across the whole fleet.",
        unit="slots",
        minimum=0,
        maximum=10_000_000,
    )


@attrs.frozen
class Period:
    """A span of days in a calendar with its effect on demand."""

    name: str = described("What the period is, such as `exam week`.")
    first_day: str = described("First day, as YYYY-MM-DD.", unit="date")
    last_day: str = described("Last day, inclusive, as YYYY-MM-DD.", unit="date")
    demand_factor: float = described(
        "Demand relative to an ordinary day.", default=1.0, minimum=0, maximum=100
    )
    maintenance: bool = described("Whether maintenance waves may run.", default=True)


@attrs.frozen
class Calendar:
    """School calendar of one country."""

    name: str = described("Unique name.")
    country: str = described("Country code.", default="")
    utc_offset_minutes: int = described(
        "Offset of local days from UTC.", default=0, unit="min", minimum=-840, maximum=840
    )
    periods: tuple[Period, ...] = described("Terms, holidays and exam weeks.", factory=tuple)


Declaration = Profile | Pool | Service | Team | Calendar

SECTIONS: dict[str, type] = {
    "profiles": Profile,
    "pools": Pool,
    "services": Service,
    "teams": Team,
    "calendars": Calendar,
}


@attrs.frozen
class Fleet:
    """All declarations in force, by section and name."""

    profiles: dict[str, Profile] = attrs.field(factory=dict)
    pools: dict[str, Pool] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    teams: dict[str, Team] = attrs.field(factory=dict)
    calendars: dict[str, Calendar] = attrs.field(factory=dict)

    def with_change(self, section: str, name: str, value: Declaration | None) -> "Fleet":
        """Return a copy in which one declaration is replaced, or removed if `value` is None."""
        items = dict(getattr(self, section))
        if value is None:
            items.pop(name, None)
        else:
            items[name] = value
        return attrs.evolve(self, **{section: items})


@attrs.frozen
class Reference:
    """A field of one section whose value is the name of a declaration in another section."""

    section: str
    field: str
    target: str
    optional: bool = False


REFERENCES = (
    Reference("pools", "profile", "profiles"),
    Reference("pools", "calendar", "calendars", optional=True),
    Reference("services", "pool", "pools"),
    Reference("services", "profile", "profiles"),
    Reference("services", "open_team", "teams", optional=True),
)


@attrs.frozen
class Problem:
    """One problem of a declaration."""

    section: str
    name: str
    field: str
    detail: str

    def __str__(self) -> str:
        return f"{self.section}/{self.name}: {self.field}: {self.detail}"


def check_fleet(fleet: Fleet, changed: set[str] | None = None) -> list[Problem]:
    """Return problems between declarations: dangling references and contradictions.

    `changed` limits the checks to those that a change of these sections can affect, which keeps
    small changes to a large fleet cheap.
    """
    problems = []
    for reference in REFERENCES:
        if changed is None or changed & {reference.section, reference.target}:
            problems.extend(_check_reference(fleet, reference))
    for section, check in _SECTION_CHECKS.items():
        if changed is None or section in changed:
            problems.extend(check(fleet))
    return problems


def _check_reference(fleet: Fleet, reference: Reference) -> list[Problem]:
    known = getattr(fleet, reference.target)
    problems = []
    for name, item in getattr(fleet, reference.section).items():
        target = getattr(item, reference.field)
        if target in known or (reference.optional and not target):
            continue
        detail = f"no entry named {target!r} in {reference.target}"
        problems.append(Problem(reference.section, name, reference.field, detail))
    return problems


def _check_duplicate_workers(fleet: Fleet) -> list[Problem]:
    pool_of: dict[str, str] = {}
    problems = []
    for pool in fleet.pools.values():
        for worker in pool.workers:
            if worker in pool_of:
                detail = f"worker {worker!r} is already in pool {pool_of[worker]!r}"
                problems.append(Problem("pools", pool.name, "workers", detail))
            pool_of[worker] = pool.name
    return problems


def _check_profiles(fleet: Fleet) -> list[Problem]:
    problems = []
    for profile in fleet.profiles.values():
        if profile.quick_floor + profile.archival_floor > 1:
            detail = "quick_floor and archival_floor add up to more than 1"
            problems.append(Problem("profiles", profile.name, "archival_floor", detail))
        if profile.failure_reserve > profile.max_out:
            detail = "the reserve is larger than max_out"
            problems.append(Problem("profiles", profile.name, "failure_reserve", detail))
    return problems


def _check_services(fleet: Fleet) -> list[Problem]:
    problems = []
    for service in fleet.services.values():
        if service.open_to_all and not service.open_team:
            detail = "a service that is open to all needs a team to which its requests are charged"
            problems.append(Problem("services", service.name, "open_team", detail))
    return problems


_SECTION_CHECKS = {
    "pools": _check_duplicate_workers,
    "profiles": _check_profiles,
    "services": _check_services,
}
