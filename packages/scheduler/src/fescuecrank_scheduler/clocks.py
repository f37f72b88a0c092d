"""`Now`: the monotonic and wall-clock time that is passed to every decision."""

from fescuecrank_core.clock import Instant as Now

__all__ = ["Now"]
