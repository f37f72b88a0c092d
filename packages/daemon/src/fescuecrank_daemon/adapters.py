"""Adapters to the platform's services, by their names in the settings."""

from collections.abc import Callable

from structlog.typing import FilteringBoundLogger

from fescuecrank_daemon.instances_http import HttpInstanceLister
from fescuecrank_daemon.log_http import HttpLogClient
from fescuecrank_daemon.platform_clients import InstanceLister, LogClient, WorkerClient
from fescuecrank_daemon.settings import InstanceSettings, LogSettings, WorkerSettings
from fescuecrank_daemon.workers_http import HttpWorkerClient

LOG_CLIENTS: dict[str, Callable[[LogSettings, FilteringBoundLogger], LogClient]] = {
    "http": HttpLogClient,
}

INSTANCE_LISTERS: dict[str, Callable[[InstanceSettings], InstanceLister]] = {
    "http": HttpInstanceLister,
}

WORKER_CLIENTS: dict[str, Callable[[WorkerSettings], WorkerClient]] = {
    "http": HttpWorkerClient,
}
