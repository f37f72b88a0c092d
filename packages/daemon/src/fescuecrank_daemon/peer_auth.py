"""Mutual authentication of entries by a shared key.

The dialling side sends a hello. The accepting side answers with its own hello and a proof over both
hellos, and the dialling side answers with its proof. A proof cannot be replayed, since it covers a
nonce of the other side, nor reflected, since it covers the role of its sender.
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
    """First frame of each side; `target` is the entry that the sender expects to reach."""

    name: str
    target: str
    nonce: bytes


@attrs.frozen
class Proof:
    """HMAC-SHA-256 of both hellos and the sender's role under the shared key."""

    digest: bytes


class PeerAuthenticator:
    """Authenticates this entry to its peers and its peers to this entry."""

    def __init__(self, name: str, shared_key: str) -> None:
        self._name = name
        self._key = shared_key.encode()

    async def dial(self, conn: Connection, peer: str) -> Result[str, Failure]:
        """Authenticate as the dialling side; return the peer's name, which must be `peer`."""
        own_hello = self._hello(peer)
        await conn.send(_encode(own_hello))
        peer_hello = _decode(await conn.recv(), Hello)
        proof = _decode(await conn.recv(), Proof)
        if peer_hello is None or proof is None:
            return _unauthorized(peer, "malformed hello")
        if peer_hello.name != peer or peer_hello.target != self._name:
            return _unauthorized(peer, "the peer is not the expected entry")
        if not self._verify(proof, b"accept", own_hello, peer_hello):
            return _unauthorized(peer, "the proof does not match the shared key")
        await conn.send(_encode(self._proof(b"dial", own_hello, peer_hello)))
        return Ok(peer_hello.name)

    async def accept(self, conn: Connection) -> Result[str, Failure]:
        """Authenticate as the accepting side; return the peer's name."""
        peer_hello = _decode(await conn.recv(), Hello)
        if peer_hello is None or not peer_hello.name or len(peer_hello.nonce) != NONCE_BYTES:
            return _unauthorized("", "malformed hello")
        if peer_hello.target != self._name:
            return _unauthorized(peer_hello.name, "the peer expected another entry")
        own_hello = self._hello(peer_hello.name)
        await conn.send(_encode(own_hello))
        await conn.send(_encode(self._proof(b"accept", peer_hello, own_hello)))
        proof = _decode(await conn.recv(), Proof)
        if proof is None or not self._verify(proof, b"dial", peer_hello, own_hello):
            return _unauthorized(peer_hello.name, "the proof does not match the shared key")
        return Ok(peer_hello.name)

    def _hello(self, target: str) -> Hello:
        return Hello(self._name, target, secrets.token_bytes(NONCE_BYTES))

    def _proof(self, role: bytes, dialling: Hello, accepting: Hello) -> Proof:
        signed = cbor2.dumps([role, attrs.astuple(dialling), attrs.astuple(accepting)])
        return Proof(hmac.digest(self._key, signed, hashlib.sha256))

    def _verify(self, proof: Proof, role: bytes, dialling: Hello, accepting: Hello) -> bool:
        expected = self._proof(role, dialling, accepting)
        return hmac.compare_digest(proof.digest, expected.digest)


def _unauthorized(peer: str, detail: str) -> Err[Failure]:
    return Err(Failure(FailureKind.UNAUTHORIZED, STEP, peer, detail))


def _encode(value: Hello | Proof) -> bytes:
    return cbor2.dumps(_converter.unstructure(value))


def _decode(data: str | bytes, cls: type) -> Hello | Proof | None:
    if not isinstance(data, bytes):
        return None
    try:
        return _converter.structure(cbor2.loads(data), cls)
    except Exception:
        # cbor2 and cattrs raise many exception classes for malformed input, which all mean the
        # same here.
        return None
