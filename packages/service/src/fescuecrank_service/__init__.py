"""I/O around the job scheduler: HTTP, reads and writes of the store, log lines and metrics."""
