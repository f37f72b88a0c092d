"""The instance list over HTTP; the wire format stands in docs/platform.md."""

from urllib.parse import urlsplit

import attrs
import orjson
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import Instance, InstancesListed
from result import Err, Ok, Result

from fescuecrank_daemon.checked import build
from fescuecrank_daemon.http_caller import Call, CallLimits, HttpCaller
from fescuecrank_daemon.platform_clients import InstanceLister
from fescuecrank_daemon.settings import InstanceSettings
from fescuecrank_daemon.tls import client_context

STEP = "instances.list"
MAX_CLIENTS = 4


@attrs.frozen
class InstancePage:
    """Body of the answer."""

    as_of_wall_ms: int
    instances: tuple[Instance, ...]


class HttpInstanceLister(InstanceLister):
    """Instance list by HTTP."""

    def __init__(self, cfg: InstanceSettings) -> None:
        self._cfg = cfg
        self._peer = urlsplit(cfg.url).netloc
        self._url = f"{cfg.url.rstrip('/')}/instances"
        limits = CallLimits(cfg.connect_timeout_ms, cfg.max_answer_bytes, MAX_CLIENTS)
        self._caller = HttpCaller(limits, client_context(cfg.tls))

    async def list_instances(self) -> Result[InstancesListed, Failure]:
        """Return the whole list."""
        answer = await self._caller.call(Call(STEP, self._peer, self._url, self._cfg.timeout_ms))
        if answer.is_err():
            return Err(answer.err_value.failure)
        response = answer.ok_value
        if response.code != 200:
            detail = f"answered with status {response.code}"
            return Err(Failure(FailureKind.UNAVAILABLE, STEP, self._peer, detail))
        try:
            plain = orjson.loads(response.body)
        except orjson.JSONDecodeError:
            return Err(Failure(FailureKind.INVALID, STEP, self._peer, "answer is not JSON"))
        page = build(InstancePage, plain)
        if page.is_err():
            detail = f"malformed answer: {page.err_value[0]}"
            return Err(Failure(FailureKind.INVALID, STEP, self._peer, detail))
        return Ok(InstancesListed(page.ok_value.instances, page.ok_value.as_of_wall_ms))
