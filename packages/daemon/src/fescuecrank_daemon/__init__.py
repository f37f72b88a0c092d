"""The entry daemon: an I/O shell around the reducer."""
