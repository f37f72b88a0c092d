"""Racks and data centres of the example deployments."""

from collections.abc import Iterable
from pathlib import Path

import attrs
from fescuecrank_core.declarations import Resources

EXAMPLES = Path(__file__).parents[4] / "examples"
WORKERS_PER_RACK = 4


@attrs.frozen
class Place:
    """Where a worker stands; rack names are unique within a data centre only."""

    data_centre: str
    rack: str


@attrs.frozen
class Site:
    """Hardware of one deployment; every worker is alike."""

    name: str
    capacity: Resources
    region: str = "main"
    data_centres: tuple[str, ...] = ("dc-1", "dc-2", "dc-3")
    connections: int = 64

    @property
    def fleet_folder(self) -> Path:
        """Folder with the declarations."""
        return EXAMPLES / self.name / "fleet"

    def data_centre_of(self, number: int) -> str:
        """Return the data centre of the entry or worker with this number, in rotation."""
        return self.data_centres[number % len(self.data_centres)]

    def places(self, workers: Iterable[str]) -> dict[str, Place]:
        """Spread workers over the data centres in turn and fill one rack after the other."""
        filled = dict.fromkeys(self.data_centres, 0)
        places = {}
        for number, worker in enumerate(workers):
            data_centre = self.data_centre_of(number)
            rack = filled[data_centre] // WORKERS_PER_RACK + 1
            places[worker] = Place(data_centre, f"rack-{rack}")
            filled[data_centre] += 1
        return places


SITES = {
    site.name: site
    for site in (
        Site("hoang-long", Resources(cpu_millis=16_000, memory_mb=32_768, slots=8)),
        Site("halvorsen", Resources(cpu_millis=16_000, memory_mb=65_536, slots=8)),
    )
}
