"""Mutual authentication of entries by a shared key.

The dialling side sends its hello, the accepting side answers with its own hello and a proof over
both, and the dialling side answers with its proof. Neither proof can be replayed, since each covers
a nonce of the other side, nor reflected, since each covers the role of its sender.
"""

import hashlib
import hmac
import secrets

import attrs
import cattrs
import cbor2
from fescuecrank_core.errors import Failure, FailureKind
from result import Err, Ok, Result
from websockets.asyncio.connection import Connection

NONCE_BYTES = 32
STEP = "peer.authenticate"

_converter = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen
class Hello:
    """First frame of each side; `target` is whom the sender believes to talk to, if it knows."""

    name: str
    target: str
    nonce: bytes


@attrs.frozen
class Proof:
    """HMAC-SHA-256 of both hellos and the sender's role under the shared key."""

    digest: bytes


class PeerAuthenticator:
    """Proves the own name to peers and checks theirs."""

    def __init__(self, name: str, shared_key: str) -> None:
        self._name = name
        self._key = shared_key.encode()

    async def dial(self, conn: Connection, peer: str) -> Result[str, Failure]:
        """Authenticate as the dialling side; return the peer's name, which must be `peer`."""
        mine = self._hello(peer)
        await conn.send(_encode(mine))
        theirs = _decode(await conn.recv(), Hello)
        proof = _decode(await conn.recv(), Proof)
        if theirs is None or proof is None:
            return _refused(peer, "malformed hello")
        if theirs.name != peer or theirs.target != self._name:
            return _refused(peer, "the other side has another name")
        if not self._matches(proof, b"accept", mine, theirs):
            return _refused(peer, "the other side does not know the shared key")
        await conn.send(_encode(self._proof(b"dial", mine, theirs)))
        return Ok(theirs.name)

    async def accept(self, conn: Connection) -> Result[str, Failure]:
        """Authenticate as the accepting side; return the peer's name."""
        theirs = _decode(await conn.recv(), Hello)
        if theirs is None or not theirs.name or len(theirs.nonce) != NONCE_BYTES:
            return _refused("", "malformed hello")
        if theirs.target != self._name:
            return _refused(theirs.name, "the other side looks for another entry")
        mine = self._hello(theirs.name)
        await conn.send(_encode(mine))
        await conn.send(_encode(self._proof(b"accept", theirs, mine)))
        proof = _decode(await conn.recv(), Proof)
        if proof is None or not self._matches(proof, b"dial", theirs, mine):
            return _refused(theirs.name, "the other side does not know the shared key")
        return Ok(theirs.name)

    def _hello(self, target: str) -> Hello:
        return Hello(self._name, target, secrets.token_bytes(NONCE_BYTES))

    def _proof(self, role: bytes, dialling: Hello, accepting: Hello) -> Proof:
        covered = cbor2.dumps([role, attrs.astuple(dialling), attrs.astuple(accepting)])
        return Proof(hmac.digest(self._key, covered, hashlib.sha256))

    def _matches(self, proof: Proof, role: bytes, dialling: Hello, accepting: Hello) -> bool:
        expected = self._proof(role, dialling, accepting)
        return hmac.compare_digest(proof.digest, expected.digest)


def _refused(peer: str, detail: str) -> Err[Failure]:
    return Err(Failure(FailureKind.UNAUTHORIZED, STEP, peer, detail))


def _encode(value: Hello | Proof) -> bytes:
    return cbor2.dumps(_converter.unstructure(value))


def _decode(data: str | bytes, cls: type) -> Hello | Proof | None:
    if not isinstance(data, bytes):
        return None
    try:
        return _converter.structure(cbor2.loads(data), cls)
    except Exception:
        # cbor2 and cattrs raise many classes for malformed input, all with the same meaning here.
        return None
