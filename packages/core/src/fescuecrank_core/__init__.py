"""Decisions of fescuecrank: one reducer over all events, without any I/O."""
