"""Computes the changes that lead from the declarations in force to the wanted ones."""

from collections.abc import Mapping

from fescuecrank_core import codec
from fescuecrank_core.declarations import SECTIONS, Declaration, Fleet
from fescuecrank_core.records import Change

# Version that the change follows if it adds a declaration.
NO_VERSION = -1

InForce = Mapping[str, Mapping[str, tuple[int, Declaration]]]


def plan_changes(in_force: InForce, wanted: Fleet) -> list[Change]:
    """Return the changes that turn `in_force` into `wanted`, in order of section and name.

    `in_force` holds version and value by section and name. Declarations that are in force but not
    wanted are removed. Equal declarations yield no change.
    """
    changes: list[Change] = []
    for section in SECTIONS:
        present = in_force.get(section, {})
        target = getattr(wanted, section)
        for name in sorted(present.keys() | target.keys()):
            version, value = present.get(name, (NO_VERSION, None))
            if target.get(name) != value:
                changes.append(_change(section, name, version, target.get(name)))
    return changes


def _change(section: str, name: str, version: int, value: Declaration | None) -> Change:
    return Change(section, name, version, None if value is None else codec.encode(value))
