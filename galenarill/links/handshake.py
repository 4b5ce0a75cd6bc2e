"""Mutual challenge-response authentication of the ends of a new link."""

import hashlib
import hmac
import secrets

import cbor2
import msgspec

from galenarill.common import VmId
from galenarill.errors import AuthenticationError

__all__ = ["authenticate_as_dialer", "authenticate_as_acceptor"]

NONCE_BYTES = 16


class _Hello(msgspec.Struct, array_like=True):
    vm: VmId
    nonce: bytes


class _Challenge(msgspec.Struct, array_like=True):
    vm: VmId
    nonce: bytes
    proof: bytes


class _Proof(msgspec.Struct, array_like=True):
    proof: bytes


async def authenticate_as_dialer(
    socket, secret: bytes, vm: VmId, peer: VmId
) -> None:
    """Authenticate the dialed peer, and this VM to it.

    Each side proves that it has the secret with an HMAC over its role, both VM
    ids and both nonces, which prevents replay and reflection attacks.

    Args:
        socket: Open websocket.
        secret: Link secret that all processes of the fleet share.
        vm: This VM.
        peer: VM that was dialed.

    Raises:
        AuthenticationError: If the peer is another VM or lacks the secret.
    """
    hello = _Hello(vm, secrets.token_bytes(NONCE_BYTES))
    await _send(socket, hello)
    challenge = await _receive(socket, _Challenge)
    transcript = (hello.vm, challenge.vm, hello.nonce, challenge.nonce)
    expected = _compute_proof(secret, "acceptor", *transcript)
    if challenge.vm != peer or not hmac.compare_digest(
        challenge.proof, expected
    ):
        raise AuthenticationError(f"{peer} failed authentication")
    await _send(socket, _Proof(_compute_proof(secret, "dialer", *transcript)))


async def authenticate_as_acceptor(
    socket, secret: bytes, vm: VmId, peers: frozenset[VmId] | None
) -> VmId:
    """Authenticate the dialing peer, and this VM to it.

    Args:
        socket: Open websocket.
        secret: Link secret that all processes of the fleet share.
        vm: This VM.
        peers: VMs that may dial, or None to accept any with the secret.

    Returns:
        The authenticated peer.

    Raises:
        AuthenticationError: If the peer is unknown or lacks the secret.
    """
    hello = await _receive(socket, _Hello)
    if peers is not None and hello.vm not in peers:
        raise AuthenticationError(f"{hello.vm!r} is not a known peer")
    nonce = secrets.token_bytes(NONCE_BYTES)
    transcript = (hello.vm, vm, hello.nonce, nonce)
    proof = _compute_proof(secret, "acceptor", *transcript)
    await _send(socket, _Challenge(vm, nonce, proof))
    answer = await _receive(socket, _Proof)
    expected = _compute_proof(secret, "dialer", *transcript)
    if not hmac.compare_digest(answer.proof, expected):
        raise AuthenticationError(f"{hello.vm} failed authentication")
    return hello.vm


def _compute_proof(secret: bytes, role: str, *transcript) -> bytes:
    message = cbor2.dumps([role, *transcript])
    return hmac.new(secret, message, hashlib.sha256).digest()


async def _send(socket, message: msgspec.Struct) -> None:
    await socket.send(
        cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    )


async def _receive(socket, message_type):
    try:
        data = await socket.recv()
        return msgspec.convert(
            cbor2.loads(data), message_type, builtin_types=(bytes,)
        )
    except (
        msgspec.ValidationError,
        cbor2.CBORDecodeError,
        TypeError,
        ValueError,
    ) as error:
        raise AuthenticationError("malformed handshake message") from error
