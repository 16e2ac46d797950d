"""The I/O of a QUIC connection: datagrams in and out, and one timer. The library (aioquic) itself has none.

Time is `time.monotonic()`, as uvloop's clock stands still within an iteration and counts full milliseconds.
What is used of the library's private attributes stands here and in `session.py`.
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
from aioquic.tls import Epoch

Endpoint = tuple[Any, ...]  # a UDP peer, as the socket names it

log = logging.getLogger("orchidferry")
# The library logs a line or two for each connection.
logging.getLogger("quic").setLevel(logging.WARNING)

ALPN = "h3"
CID_LENGTH = 8  # bytes of the connection ids that this side makes
LONG_HEADER = b"\x80"  # first bytes from this on begin a long header (RFC 9000, section 17.2)
LONG_HEADER_ID_OFFSET = 6  # of the destination connection id, in bytes
SHORT_HEADER_ID_OFFSET = 1
RESET_TOKEN_BYTES = 16  # bytes of a stateless reset token
COPY_DELAY_S = 0.005  # so that losses which come together do not take both
MAX_COPIED = 4  # datagrams of one flush


def reset_token(key: bytes, cid: bytes) -> bytes:
    """Return the token of a connection id's stateless reset (RFC 9000, section 10.3.2)."""
    return hmac.digest(key, cid, hashlib.sha256)[:RESET_TOKEN_BYTES]


class ServerQuicConnection(QuicConnection):
    """A server's connection whose stateless reset tokens are derived from its ids, so that none is kept."""

    def __init__(self, key: bytes, streams: int, **rest: Any) -> None:
        """Create a `ServerQuicConnection`.

        :param key: for the tokens.
        :param streams: requests that may be open at once.
        :param rest: for the library.
        """
        self._key = key
        super().__init__(**rest)
        # Each request that ends permits another one.
        self._local_max_streams_bidi.value = self._local_max_streams_bidi.sent = streams
        self._host_cids[0].stateless_reset_token = reset_token(key, self.host_cid)

    def _replenish_connection_ids(self) -> None:
        before = len(self._host_cids)
        super()._replenish_connection_ids()
        for id in self._host_cids[before:]:
            id.stateless_reset_token = reset_token(self._key, id.cid)


def peer_reset_tokens(quic: QuicConnection) -> list[bytes]:
    """Return the stateless reset tokens that the peer has sent."""
    ids: list[QuicConnectionId] = [quic._peer_cid, *quic._peer_cid_available]
    return [id.stateless_reset_token for id in ids if id.stateless_reset_token]


def is_sent(quic: QuicConnection, stream_id: int) -> bool:
    """Return whether the last byte of a stream, with its end, was sent at least once."""
    stream = quic._streams.get(stream_id)
    if stream is None:
        return True  # all of it was acknowledged
    sender = stream.sender
    return sender._buffer_fin is not None and not sender._pending_eof and not len(sender._pending)


def is_over(quic: QuicConnection, stream_id: int) -> bool:
    """Return whether both directions of a stream have ended and all that was sent is acknowledged."""
    return stream_id not in quic._streams


def peer_close_code(quic: QuicConnection) -> int | None:
    """Return the code of the peer's close, once it has come; the library's event follows some time later."""
    if quic._state is not QuicConnectionState.DRAINING or quic._close_event is None:
        return None
    return int(quic._close_event.error_code)


def probe_timeout_ms(quic: QuicConnection) -> float:
    """Return after how long a datagram that is not acknowledged is sent again (RFC 9002, section 6.2)."""
    return 1000.0 * float(quic._loss.get_probe_timeout())


def unanswered_probes(quic: QuicConnection) -> int:
    """Return how many probe timeouts in a row have passed without an acknowledgement."""
    return int(quic._loss._pto_count)


def newest_packet(quic: QuicConnection) -> int:
    """Return the greatest packet number received once the keys are agreed; -1 before."""
    space = quic._spaces.get(Epoch.ONE_RTT)
    return int(space.largest_received_packet) if space is not None else -1


def has_short_header(datagram: bytes) -> bool:
    """Return whether a datagram begins with a packet that only the keys of a done handshake can open."""
    return datagram[:1] < LONG_HEADER


def is_confirmed(quic: QuicConnection) -> bool:
    """Return whether a client knows that its server has its whole handshake (RFC 9001, section 4.1.2)."""
    return bool(quic._handshake_confirmed)


def is_from(quic: QuicConnection, datagram: bytes) -> bool:
    """Return whether a datagram bears an id that only this connection and its path know."""
    ids = [id.cid for id in (quic._peer_cid, *quic._peer_cid_available) if id.cid]
    start = SHORT_HEADER_ID_OFFSET if has_short_header(datagram) else LONG_HEADER_ID_OFFSET
    return any(datagram.startswith(id, start) for id in ids)


def streams_left(quic: QuicConnection) -> int:
    """Return how many more requests the peer permits now."""
    return int(quic._remote_max_streams_bidi - quic._local_next_stream_id_bidi // 4)


def new_stream(quic: QuicConnection) -> int:
    """Return the stream id of the next request."""
    return int(quic.get_next_available_stream_id())


class HasConnectionIds(Protocol):
    """A connection in a `ConnectionIdTable`."""

    cids: set[bytes]


Owner = TypeVar("Owner", bound=HasConnectionIds)


class ConnectionIdTable(Generic[Owner]):
    """Connections by id; an id is valid until it is retired, or its connection ends."""

    def __init__(self) -> None:
        self._owners: dict[bytes, Owner] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def get(self, cid: bytes) -> Owner | None:
        """Return the connection of an id."""
        return self._owners.get(cid)

    def add(self, cid: bytes, owner: Owner) -> None:
        """Add an id of a connection."""
        self._owners[cid] = owner
        owner.cids.add(cid)

    def retire(self, cid: bytes, owner: Owner) -> None:
        """Remove an id of a connection."""
        if cid in owner.cids:
            owner.cids.discard(cid)
            del self._owners[cid]

    def end(self, owner: Owner) -> None:
        """Remove all ids of a connection."""
        for cid in owner.cids:
            self._owners.pop(cid, None)
        owner.cids.clear()


class QuicTransport:
    """Passes datagrams and time to a connection, and sends its datagrams."""

    def __init__(
        self,
        quic: QuicConnection,
        loop: asyncio.AbstractEventLoop,
        sendto: Callable[[bytes, Endpoint], None],
        on_event: Callable[[QuicEvent], None],
        on_flushed: Callable[[], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.quic = quic
        self._loop = loop
        self._sendto = sendto
        self._on_event = on_event
        self._on_flushed = on_flushed
        self._on_failure = on_failure
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._flush_handle: asyncio.Handle | None = None
        self._copies_next_flush = False
        self._closed = False

    def receive(self, data: bytes, peer: Endpoint) -> None:
        """Handle a datagram; an exception, also one inside the library, ends only this connection."""
        try:
            self.quic.receive_datagram(data, peer, now=time.monotonic())
            self._handle_events()
        except Exception:
            log.exception("a QUIC connection, at a datagram")
            return self._on_failure()
        self.flush_soon()
        return None

    def flush_soon(self) -> None:
        """Send what there is to send, at the end of this iteration of the event loop."""
        if self._flush_handle is None and not self._closed:
            self._flush_handle = self._loop.call_soon(self.flush)

    def flush_twice_soon(self) -> None:
        """Like `flush_soon`, for what has no time to be sent again after a probe timeout.

        The copies of its datagrams are duplicates to the peer (RFC 9000, section 12.3).
        """
        self._copies_next_flush = True
        self.flush_soon()

    def flush(self) -> None:
        """Send what there is to send now."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        if self._closed:
            return None
        try:
            datagrams = self.quic.datagrams_to_send(now=time.monotonic())
            self._send(datagrams)
            if self._copies_next_flush and datagrams:
                self._copies_next_flush = False
                self._loop.call_later(COPY_DELAY_S, self._send, datagrams[:MAX_COPIED])
            self._on_flushed()
        except Exception:
            log.exception("a QUIC connection, sending")
            return self._on_failure()
        if not self._closed:
            self._set_timer()
        return None

    def _send(self, datagrams: list[tuple[bytes, Endpoint]]) -> None:
        if self._closed:
            return
        for data, peer in datagrams:
            self._sendto(data, peer)

    def _set_timer(self) -> None:
        due_s = self.quic.get_timer()
        if self._timer is not None and due_s != self._due_s:
            self._timer.cancel()
            self._timer = None
        if self._timer is None and due_s is not None:
            self._timer = self._loop.call_later(max(0.0, due_s - time.monotonic()), self._on_timer)
        self._due_s = due_s if due_s is not None else 0.0

    def _on_timer(self) -> None:
        self._timer = None
        try:
            self.quic.handle_timer(now=max(self._due_s, time.monotonic()))
            self._handle_events()
        except Exception:
            log.exception("a QUIC connection, at its timer")
            return self._on_failure()
        self.flush()
        return None

    def _handle_events(self) -> None:
        while (event := self.quic.next_event()) is not None:
            self._on_event(event)

    def end(self) -> None:
        """Cancel its timer, and send nothing more."""
        self._closed = True
        for handle in (self._timer, self._flush_handle):
            if handle is not None:
                handle.cancel()
        self._timer = self._flush_handle = None
