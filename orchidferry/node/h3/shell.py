"""A QUIC connection's thin shell: datagrams in and out, one timer. The library's core has no sockets.

Time is `time.monotonic()`, as uvloop's own clock stands still within a turn and counts whole milliseconds.
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import logging
import time
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from aioquic.quic.connection import QuicConnection, QuicConnectionId, QuicConnectionState
from aioquic.quic.events import QuicEvent

Endpoint = tuple[Any, ...]  # a UDP peer, as the socket names it

log = logging.getLogger("orchidferry")
# The library says a line or two about each connection.
logging.getLogger("quic").setLevel(logging.WARNING)

ALPN = "h3"
CID_LENGTH = 8  # bytes of the connection ids that this side makes
SIGNATURE = 16  # bytes of a stateless reset token


def reset_token(key: bytes, cid: bytes) -> bytes:
    """The token that a connection id's stateless reset bears (RFC 9000, section 10.3.2)."""
    return hmac.digest(key, cid, hashlib.sha256)[:SIGNATURE]


class OwnTokens(QuicConnection):
    """A server's connection whose stateless reset tokens follow from its ids, so that none need be kept."""

    def __init__(self, key: bytes, streams: int, **rest: Any) -> None:
        self._key = key
        super().__init__(**rest)
        # So many requests may be open at once; each that is done with makes room for another.
        self._local_max_streams_bidi.value = self._local_max_streams_bidi.sent = streams
        self._host_cids[0].stateless_reset_token = reset_token(key, self.host_cid)

    def _replenish_connection_ids(self) -> None:
        before = len(self._host_cids)
        super()._replenish_connection_ids()
        for id in self._host_cids[before:]:
            id.stateless_reset_token = reset_token(self._key, id.cid)


def peer_tokens(quic: QuicConnection) -> list[bytes]:
    """The stateless reset tokens that the peer has told."""
    ids: list[QuicConnectionId] = [quic._peer_cid, *quic._peer_cid_available]
    return [id.stateless_reset_token for id in ids if id.stateless_reset_token]


def sent_whole(quic: QuicConnection, stream_id: int) -> bool:
    """Whether the last byte of a stream, with its end, has gone out at least once."""
    stream = quic._streams.get(stream_id)
    if stream is None:
        return True  # all of it was acknowledged
    sender = stream.sender
    return sender._buffer_fin is not None and not sender._pending_eof and not len(sender._pending)


def is_over(quic: QuicConnection, stream_id: int) -> bool:
    """Whether both ends of a stream are done with, and all that was sent on it was acknowledged."""
    return stream_id not in quic._streams


def closed_by(quic: QuicConnection) -> int | None:
    """The code of the peer's close, once it has come; the library tells of it some time later."""
    if quic._state is not QuicConnectionState.DRAINING or quic._close_event is None:
        return None
    return int(quic._close_event.error_code)


def streams_left(quic: QuicConnection) -> int:
    """How many requests the peer lets this side open yet."""
    return int(quic._remote_max_streams_bidi - quic._local_next_stream_id_bidi // 4)


def new_stream(quic: QuicConnection) -> int:
    """The id of the next request."""
    return int(quic.get_next_available_stream_id())


class HasIds(Protocol):
    """Whatever connection ids lead to."""

    cids: set[bytes]


Owner = TypeVar("Owner", bound=HasIds)


class Ids(Generic[Owner]):
    """Which connection each id leads to. An id ends when it is retired, or with its connection."""

    def __init__(self) -> None:
        self._owners: dict[bytes, Owner] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def get(self, cid: bytes) -> Owner | None:
        return self._owners.get(cid)

    def add(self, cid: bytes, owner: Owner) -> None:
        self._owners[cid] = owner
        owner.cids.add(cid)

    def retire(self, cid: bytes, owner: Owner) -> None:
        if cid in owner.cids:
            owner.cids.discard(cid)
            del self._owners[cid]

    def end(self, owner: Owner) -> None:
        """None leads to it any more."""
        for cid in owner.cids:
            self._owners.pop(cid, None)
        owner.cids.clear()


class Shell:
    """Feeds a connection its datagrams and its time, and sends what it has to say."""

    def __init__(
        self,
        quic: QuicConnection,
        loop: asyncio.AbstractEventLoop,
        sendto: Callable[[bytes, Endpoint], None],
        on_event: Callable[[QuicEvent], None],
        on_flushed: Callable[[], None],
        on_broken: Callable[[], None],
    ) -> None:
        self.quic = quic
        self._loop = loop
        self._sendto = sendto
        self._on_event = on_event
        self._on_flushed = on_flushed
        self._on_broken = on_broken
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._soon: asyncio.Handle | None = None
        self._ended = False

    def receive(self, data: bytes, peer: Endpoint) -> None:
        """A datagram came. What it raises, inside the library too, is this connection's end and no more."""
        try:
            self.quic.receive_datagram(data, peer, now=time.monotonic())
            self._events()
        except Exception:
            log.exception("a QUIC connection, at a datagram")
            return self._on_broken()
        self.flush_soon()

    def flush_soon(self) -> None:
        """Send what there is to send, once this turn of the loop is over."""
        if self._soon is None and not self._ended:
            self._soon = self._loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send it now."""
        if self._soon is not None:
            self._soon.cancel()
            self._soon = None
        if self._ended:
            return
        try:
            for data, peer in self.quic.datagrams_to_send(now=time.monotonic()):
                self._sendto(data, peer)
            self._on_flushed()
        except Exception:
            log.exception("a QUIC connection, sending")
            return self._on_broken()
        if not self._ended:
            self._arm()

    def _arm(self) -> None:
        due = self.quic.get_timer()
        if self._timer is not None and due != self._due:
            self._timer.cancel()
            self._timer = None
        if self._timer is None and due is not None:
            self._timer = self._loop.call_later(max(0.0, due - time.monotonic()), self._ring)
        self._due = due if due is not None else 0.0

    def _ring(self) -> None:
        self._timer = None
        try:
            self.quic.handle_timer(now=max(self._due, time.monotonic()))
            self._events()
        except Exception:
            log.exception("a QUIC connection, at its timer")
            return self._on_broken()
        self.flush()

    def _events(self) -> None:
        while (event := self.quic.next_event()) is not None:
            self._on_event(event)

    def end(self) -> None:
        """No timer of its own is left after this, and nothing is sent."""
        self._ended = True
        for handle in (self._timer, self._soon):
            if handle is not None:
                handle.cancel()
        self._timer = self._soon = None
