"""Decisions of the job scheduler: one reducer over events, effects as data, no I/O."""
