"""Base class of the specifications, and the exhaustive search that checks their properties."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any, ClassVar, NamedTuple

import attrs
import minicheck

State = Any
Step = tuple[str, State]
Predicate = Callable[[State], bool]


@attrs.frozen
class Rules:
    """Base class of the protocol rules of one specification; each field enables one rule."""

    def without(self, rule: str) -> "Rules":
        """Return these rules with one disabled."""
        return attrs.evolve(self, **{rule: False})


@attrs.frozen
class Mutant:
    """A specification without `rule`, which must then violate the property `refutes`."""

    rule: str
    refutes: str


class Specification(ABC):
    """One protocol, modelled as an explicit state machine.

    A subclass declares its rules, its properties (which hold in every reachable state), its
    witnesses (each of which some reachable state satisfies, so that no property holds vacuously)
    and its mutants. States are named tuples of hashable values.
    """

    name: ClassVar[str]
    rules_class: ClassVar[type[Rules]]
    properties: ClassVar[dict[str, Predicate]]
    witnesses: ClassVar[dict[str, Predicate]]
    mutants: ClassVar[tuple[Mutant, ...]]
    max_states: ClassVar[int]

    def __init__(self, rules: Rules | None = None) -> None:
        self.rules = rules or self.rules_class()

    @abstractmethod
    def initial(self) -> State:
        """Return the only initial state."""

    @abstractmethod
    def steps(self, state: State) -> Iterable[Step]:
        """Yield the label and the next state of every step that is possible in `state`."""


@attrs.frozen
class Trace:
    """Labels of the steps from the initial state to a violation or a witness."""

    steps: tuple[str, ...]

    def __len__(self) -> int:
        return len(self.steps)


@attrs.frozen
class Report:
    """Result of one search; a trace is None if no violation, or no witness, was reached."""

    states: int
    exhaustive: bool
    violations: dict[str, Trace | None]
    witnesses: dict[str, Trace | None]


class Search:
    """Adapter from a `Specification` to `minicheck.check_safety`."""

    def __init__(self, spec: Specification, stop_at_property: str = "") -> None:
        self._spec = spec
        self._stop_at_property = stop_at_property
        self._stopped = False

    def run(self, max_states: int) -> Report:
        """Explore every reachable state, or stop at the first violation of `stop_at_property`."""
        result = minicheck.check_safety(self._protocol(), max_states)
        return Report(
            states=result["reachable_states"],
            exhaustive=result["exhaustive"] and not self._stopped,
            violations={name: self._trace(result, name) for name in self._spec.properties},
            witnesses={name: self._trace(result, name) for name in self._spec.witnesses},
        )

    def _protocol(self) -> minicheck.Protocol:
        checks = {
            name: self._property_invariant(name, predicate)
            for name, predicate in self._spec.properties.items()
        }
        for name, predicate in self._spec.witnesses.items():
            checks[name] = self._witness_invariant(predicate)
        return minicheck.Protocol(
            name=self._spec.name,
            candidate=False,
            fields=("state",),
            initial=(self._spec.initial(),),
            transitions=self._transitions,
            invariants=checks,
        )

    def _transitions(self, wrapped: tuple[State]) -> list[tuple[str, tuple[State]]]:
        if self._stopped:
            return []
        return [(label, (after,)) for label, after in self._spec.steps(wrapped[0])]

    def _property_invariant(
        self, name: str, predicate: Predicate
    ) -> Callable[[dict[str, State]], bool]:
        def check(view: dict[str, State]) -> bool:
            holds = predicate(view["state"])
            if not holds and name == self._stop_at_property:
                self._stopped = True
            return holds

        return check

    @staticmethod
    def _witness_invariant(predicate: Predicate) -> Callable[[dict[str, State]], bool]:
        """Return the negation of a witness; its counterexample is a trace to the witness."""
        return lambda view: not predicate(view["state"])

    @staticmethod
    def _trace(result: dict[str, Any], name: str) -> Trace | None:
        path = result["properties"][name]["counterexample"]
        if path is None:
            return None
        return Trace(tuple(step["label"] for step in path[1:]))


class MutantResult(NamedTuple):
    """A mutant with the shortest counterexample to its property, or None if it has none."""

    mutant: Mutant
    trace: Trace | None


def check(spec_class: type[Specification]) -> Report:
    """Check the properties and witnesses of a specification with all of its rules."""
    return Search(spec_class()).run(spec_class.max_states)


def refute(spec_class: type[Specification], mutant: Mutant) -> MutantResult:
    """Search for a counterexample to a mutant, which survives if there is none in the bound."""
    spec = spec_class(spec_class.rules_class().without(mutant.rule))
    report = Search(spec, stop_at_property=mutant.refutes).run(spec_class.max_states)
    return MutantResult(mutant, report.violations[mutant.refutes])
