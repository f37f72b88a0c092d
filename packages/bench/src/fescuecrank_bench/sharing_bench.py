"""Measures of shares, waits and placement in virtual time."""

from fescuecrank_bench.measures import Measure

MEASURES: tuple[type[Measure], ...] = ()
