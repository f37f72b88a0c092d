"""Background tasks whose exceptions are logged."""

import asyncio
from collections.abc import Coroutine

from structlog.typing import FilteringBoundLogger


class BackgroundTasks:
    """Keeps references to running tasks, logs their exceptions and cancels them on close."""

    def __init__(self, log: FilteringBoundLogger) -> None:
        self._log = log
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine, step: str) -> None:
        """Run `work` in the background; `step` names it in the log if it fails."""
        task = asyncio.create_task(work, name=step)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        self.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            self._log.error("task_failed", step=task.get_name(), exc_info=exc)
