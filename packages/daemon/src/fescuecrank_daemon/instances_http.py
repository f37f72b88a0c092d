"""Client of the instance list over HTTP; docs/platform.md describes the wire format."""

from typing import Any
from urllib.parse import urlsplit

import orjson
from fescuecrank_core.errors import Failure, FailureKind
from fescuecrank_core.events import Instance, InstancesListed
from result import Err, Ok, Result
from tornado.httpclient import HTTPResponse

from fescuecrank_daemon.http_client import Call, CallLimits, HttpClient
from fescuecrank_daemon.platform_clients import InstanceLister
from fescuecrank_daemon.settings import InstanceSettings
from fescuecrank_daemon.tls import client_context
from fescuecrank_daemon.validation import build_object

STEP = "instances.list"
MAX_CLIENTS = 4


class HttpInstanceLister(InstanceLister):
    """Reads the instance list over HTTP.

    Most polls find no change, so requests are conditional on the ETag, and only instances that
    changed are validated and built again.
    """

    def __init__(self, cfg: InstanceSettings) -> None:
        self._cfg = cfg
        self._peer = urlsplit(cfg.url).netloc
        self._url = f"{cfg.url.rstrip('/')}/instances"
        limits = CallLimits(cfg.connect_timeout_ms, cfg.max_answer_bytes, MAX_CLIENTS)
        self._client = HttpClient(limits, client_context(cfg.tls))
        self._etag = ""
        self._decoded: dict[str, Any] = {}
        self._instances: dict[str, Instance] = {}

    async def list_instances(self) -> Result[InstancesListed, Failure]:
        """Return the current instance list."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        call = Call(STEP, self._peer, self._url, self._cfg.timeout_ms, headers=headers)
        answer = await self._client.call(call)
        if answer.is_err():
            return Err(answer.err_value.failure)
        response = answer.ok_value
        as_of = response.headers.get("As-Of-Wall-Ms", "")
        if response.code not in (200, 304) or not as_of.isdecimal():
            detail = f"answered with status {response.code}"
            return Err(Failure(FailureKind.UNAVAILABLE, STEP, self._peer, detail))
        if response.code == 200:
            problem = self._update_list(response)
            if problem:
                detail = f"malformed answer: {problem}"
                return Err(Failure(FailureKind.INVALID, STEP, self._peer, detail))
        return Ok(InstancesListed(tuple(self._instances.values()), int(as_of)))

    def _update_list(self, response: HTTPResponse) -> str:
        """Store the list of an answer; return what is wrong with it, or the empty string."""
        try:
            items = orjson.loads(response.body)["instances"]
            decoded = {item["name"]: item for item in items}
        except (orjson.JSONDecodeError, KeyError, TypeError) as exc:
            return exc.__class__.__name__
        instances = {}
        for name, item in decoded.items():
            if item == self._decoded.get(name):
                instances[name] = self._instances[name]
                continue
            built = build_object(Instance, item, name)
            if built.is_err():
                return str(built.err_value[0])
            instances[name] = built.ok_value
        self._decoded, self._instances = decoded, instances
        self._etag = response.headers.get("ETag", "")
        return ""
