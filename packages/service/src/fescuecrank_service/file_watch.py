"""Detects changes of a file by polling, or on demand, such as on a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from fescuecrank_service.log_lines import JsonLineLogger, describe_failure

# A change is detected within this time, also without a signal.
CHECK_INTERVAL_MS = 1_000


class FileWatcher:
    """Calls `on_change` when the modification time or the size of a file changes.

    An unexpected error of it is logged, and the next change is detected all the same.
    """

    def __init__(self, path: Path, on_change: Callable[[], None], log: JsonLineLogger) -> None:
        self._path = path
        self._on_change = on_change
        self._log = log
        self._last_stamp = self._read_stamp()

    async def run(self) -> None:
        """Check the file at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1_000)
            self.check()

    def check(self, force: bool = False) -> None:
        """Call `on_change` if the file has changed; with `force`, call it in any case."""
        stamp = self._read_stamp()
        if force or (stamp is not None and stamp != self._last_stamp):
            self._last_stamp = stamp
            try:
                self._on_change()
            except Exception as exc:  # noqa: BLE001 - later changes have to be detected
                fields = describe_failure("reload", str(self._path), exc)
                self._log.write("reload_failed", fields)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            stat = self._path.stat()
        except OSError:
            # The file may be missing while it is being replaced; the next check reads the new one.
            return None
        return stat.st_mtime_ns, stat.st_size
