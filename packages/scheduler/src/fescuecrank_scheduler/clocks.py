"""The reading of the clocks that decisions use."""

from fescuecrank_core.clock import Instant as Now

__all__ = ["Now"]
