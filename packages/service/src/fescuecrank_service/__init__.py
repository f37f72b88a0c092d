"""The I/O shell of the job scheduler: connections, time-outs, signals and logs."""
