"""Policy benchmark, baselines, lower bounds and slopes, in virtual time."""
