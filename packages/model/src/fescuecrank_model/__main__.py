"""Checks every specification and mutant; exits with 1 if any result is not as expected."""

import sys

from fescuecrank_model.registry import SPECIFICATIONS
from fescuecrank_model.specification import Mutant, Specification, Trace, check, refute


def check_specification(spec_class: type[Specification]) -> bool:
    """Print the results of one specification and return whether all are as expected."""
    report = check(spec_class)
    coverage = "exhaustive" if report.exhaustive else "NOT EXHAUSTIVE"
    print(f"{spec_class.name}: {report.states:,} states, {coverage}")
    results = [report.exhaustive]
    results += [_print_property(name, trace) for name, trace in report.violations.items()]
    results += [_print_witness(name, trace) for name, trace in report.witnesses.items()]
    results += [_print_mutant(spec_class, mutant) for mutant in spec_class.mutants]
    return all(results)


def _print_property(name: str, trace: Trace | None) -> bool:
    print(f"  property  {'holds' if trace is None else 'VIOLATED':<9} {name}")
    for step in trace.steps if trace else ():
        print(f"              {step}")
    return trace is None


def _print_witness(name: str, trace: Trace | None) -> bool:
    verdict = "UNREACHED" if trace is None else f"{len(trace)} steps"
    print(f"  reached   {verdict:<9} {name}")
    return trace is not None


def _print_mutant(spec_class: type[Specification], mutant: Mutant) -> bool:
    trace = refute(spec_class, mutant).trace
    verdict = "SURVIVES" if trace is None else f"{len(trace)} steps"
    print(f"  mutant    {verdict:<9} without {mutant.rule}: {mutant.refutes}", flush=True)
    return trace is not None


def main() -> int:
    """Check every specification in the registry and return the exit status."""
    results = [check_specification(spec_class) for spec_class in SPECIFICATIONS]
    print("all as expected" if all(results) else "FAILED")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
