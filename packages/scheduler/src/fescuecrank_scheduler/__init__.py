"""The scheduler core: a reducer that maps events to effects and performs no I/O."""
