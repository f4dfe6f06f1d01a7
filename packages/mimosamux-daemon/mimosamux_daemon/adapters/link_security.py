"""Opens links between daemons so that each knows who the other is.

Both sides send a hello with a fresh challenge and then a proof that they
know the shared secret, made over both challenges and both names. Under
mutual TLS the certificates vouch for the group and the proof is made
with an empty secret, so that one path serves both.
"""

import hashlib
import hmac
import secrets
import ssl
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeVar

import anyio.abc
from anyio.streams.tls import TLSStream
from mimosamux_wire import (
    PROTOCOL_VERSION,
    EnvelopeType,
    FrameReader,
    FrameWriter,
    LinkClosed,
    LinkHello,
    LinkProof,
    Malformed,
    Message,
    decode,
    encode,
)

from mimosamux_daemon.domain.names import DaemonId

if TYPE_CHECKING:
    from mimosamux_daemon.settings import TLSFiles

MessageT = TypeVar('MessageT', bound=Message)

NONCE_BYTES = 16
HANDSHAKE_FRAME_BYTES = 1024
HANDSHAKE_TIMEOUT_S = 3.0


class Side(StrEnum):
    """Which side of a link a daemon is; each proves in its own name."""

    INITIATOR = 'initiator'
    ACCEPTOR = 'acceptor'


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkSecurity:
    """How links are authenticated."""

    secret: bytes = b''
    tls: 'TLSFiles | None' = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Link:
    """An open link to a daemon that has proved itself."""

    daemon: DaemonId
    stream: anyio.abc.ByteStream
    reader: FrameReader
    writer: FrameWriter


async def open_link(
    stream: anyio.abc.ByteStream,
    *,
    me: DaemonId,
    side: Side,
    security: LinkSecurity,
    expected: DaemonId | None = None,
) -> Link | LinkClosed:
    """Authenticate both sides of a connection.

    With `expected`, a peer of another name closes the link.
    """
    with anyio.move_on_after(HANDSHAKE_TIMEOUT_S):
        try:
            secured = await _wrap(stream, side, security.tls)
            return await _shake_hands(secured, me, side, security, expected)
        except (
            OSError,
            ssl.SSLError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            return LinkClosed(reason=f'{type(error).__name__}: {error}')
    return LinkClosed(reason='handshake took too long')


async def _wrap(
    stream: anyio.abc.ByteStream, side: Side, files: 'TLSFiles | None'
) -> anyio.abc.ByteStream:
    if files is None:
        return stream
    return await TLSStream.wrap(
        stream,
        server_side=side is Side.ACCEPTOR,
        ssl_context=_context(side, files),
        standard_compatible=False,
    )


def _context(side: Side, files: 'TLSFiles') -> ssl.SSLContext:
    # The files are read for each link, so that a renewed certificate is
    # used without a restart; links are few and long.
    protocol = (
        ssl.PROTOCOL_TLS_SERVER
        if side is Side.ACCEPTOR
        else ssl.PROTOCOL_TLS_CLIENT
    )
    context = ssl.SSLContext(protocol)
    # Peers are reached by IP numbers and name themselves in the hello.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.authority)
    return context


async def _shake_hands(
    stream: anyio.abc.ByteStream,
    me: DaemonId,
    side: Side,
    security: LinkSecurity,
    expected: DaemonId | None,
) -> Link | LinkClosed:
    reader = FrameReader(stream=stream, key=None)
    writer = FrameWriter(key=None)
    mine = LinkHello(
        daemon=me,
        nonce=secrets.token_bytes(NONCE_BYTES),
        protocol=PROTOCOL_VERSION,
    )
    await _send(stream, writer, mine)
    theirs = await _receive(reader, LinkHello)
    if isinstance(theirs, LinkClosed):
        return theirs
    problem = _fault_of(theirs, me, expected)
    if problem:
        return LinkClosed(reason=problem)
    hellos = (mine, theirs) if side is Side.INITIATOR else (theirs, mine)
    transcript = _transcript(*hellos)
    other = Side.ACCEPTOR if side is Side.INITIATOR else Side.INITIATOR
    proof = LinkProof(proof=_derive(security.secret, side, transcript))
    if side is Side.INITIATOR:
        # The one who connects proves first, so that a stranger gets no
        # proof from a daemon to try secrets on.
        await _send(stream, writer, proof)
    answer = await _receive(reader, LinkProof)
    if isinstance(answer, LinkClosed):
        return answer
    right = _derive(security.secret, other, transcript)
    if not hmac.compare_digest(answer.proof, right):
        return LinkClosed(reason='peer does not know the secret')
    if side is Side.ACCEPTOR:
        await _send(stream, writer, proof)
    if security.tls is None:
        writer.key = _derive(security.secret, f'key {side}', transcript)
        reader.key = _derive(security.secret, f'key {other}', transcript)
    return Link(
        daemon=DaemonId(theirs.daemon),
        stream=stream,
        reader=reader,
        writer=writer,
    )


def _fault_of(hello: LinkHello, me: str, expected: str | None) -> str:
    if not hello.daemon or hello.daemon == me:
        return f'peer calls itself {hello.daemon!r}'
    if expected is not None and hello.daemon != expected:
        return f'{hello.daemon!r} answers in place of {expected!r}'
    if len(hello.nonce) != NONCE_BYTES:
        return 'peer sent no challenge'
    return ''


def _transcript(initiator: LinkHello, acceptor: LinkHello) -> bytes:
    digest = hashlib.sha256()
    for part in (
        initiator.daemon.encode(),
        initiator.nonce,
        acceptor.daemon.encode(),
        acceptor.nonce,
    ):
        digest.update(len(part).to_bytes(4, 'big') + part)
    return digest.digest()


def _derive(secret: bytes, purpose: str, transcript: bytes) -> bytes:
    return hmac.digest(secret, purpose.encode() + transcript, hashlib.sha256)


async def _send(
    stream: anyio.abc.ByteStream, writer: FrameWriter, message: Message
) -> None:
    payload = encode(message, EnvelopeType.ONEWAY, 0)
    await stream.send(writer.seal(payload))


async def _receive(
    reader: FrameReader, kind: type[MessageT]
) -> MessageT | LinkClosed:
    payload = await reader.receive(limit=HANDSHAKE_FRAME_BYTES)
    if isinstance(payload, LinkClosed):
        return payload
    envelope = decode(payload)
    if isinstance(envelope, Malformed):
        return LinkClosed(reason=envelope.problem)
    if not isinstance(envelope.message, kind):
        return LinkClosed(reason=f'{envelope.name!r} within the handshake')
    return envelope.message
