"""Regions, data centres and racks of the example deployments."""

from collections.abc import Iterable
from pathlib import Path

import attrs
from fescuecrank_core.declarations import Resources

EXAMPLES_FOLDER = Path(__file__).parents[4] / "examples"
WORKERS_PER_RACK = 4


@attrs.frozen
class Location:
    """Data centre and rack of a worker; rack names are unique within a data centre only."""

    data_centre: str
    rack: str


@attrs.frozen
class Topology:
    """Data centres of one deployment and the size of its workers, which are all alike."""

    name: str
    capacity: Resources
    region: str = "main"
    data_centres: tuple[str, ...] = ("dc-1", "dc-2", "dc-3")
    connections: int = 64

    @property
    def fleet_folder(self) -> Path:
        """The folder with the declarations of the example."""
        return EXAMPLES_FOLDER / self.name / "fleet"

    def data_centre_of(self, number: int) -> str:
        """Return the data centre of the entry or worker with this number, round robin."""
        return self.data_centres[number % len(self.data_centres)]

    def assign_locations(self, workers: Iterable[str]) -> dict[str, Location]:
        """Assign workers to the data centres round robin and, within each, fill rack after rack."""
        filled = dict.fromkeys(self.data_centres, 0)
        locations = {}
        for number, worker in enumerate(workers):
            data_centre = self.data_centre_of(number)
            rack = filled[data_centre] // WORKERS_PER_RACK + 1
            locations[worker] = Location(data_centre, f"rack-{rack}")
            filled[data_centre] += 1
        return locations


TOPOLOGIES = {
    topology.name: topology
    for topology in (
        Topology("hoang-long", Resources(cpu_millis=16_000, memory_mb=32_768, slots=8)),
        Topology("halvorsen", Resources(cpu_millis=16_000, memory_mb=65_536, slots=8)),
    )
}
