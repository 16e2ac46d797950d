"""The I/O of a QUIC connection: datagrams in and out, and one timer. The library (aioquic) does none.

Times are from `time.monotonic()`, because uvloop's clock stands still within an iteration of the event loop
and counts full milliseconds. Only this module and `session.py` use private attributes of the library.
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

Endpoint = tuple[Any, ...]  # the socket address of a UDP peer: (host, port), with two more items for IPv6

log = logging.getLogger("orchidferry")
# At INFO the library logs a line or two for each connection.
logging.getLogger("quic").setLevel(logging.WARNING)

ALPN = "h3"
CID_LENGTH = 8  # bytes of the connection ids that this side issues
LONG_HEADER = b"\x80"  # the smallest first byte of a packet with a long header (RFC 9000, section 17.2)
LONG_HEADER_ID_OFFSET = 6  # offset in bytes of the destination connection id in a long header
SHORT_HEADER_ID_OFFSET = 1  # offset in bytes of the destination connection id in a short header
RESET_TOKEN_BYTES = 16  # length of a stateless reset token
COPY_DELAY_S = 0.005  # time between a datagram and its copy, so that one burst of losses does not take both
MAX_COPIED = 4  # datagrams of one flush that are copied at most


def reset_token(key: bytes, cid: bytes) -> bytes:
    """Return the stateless reset token of a connection id (RFC 9000, section 10.3.2).

    :param key: the listener's secret key for reset tokens.
    :param cid: the connection id.
    """
    return hmac.digest(key, cid, hashlib.sha256)[:RESET_TOKEN_BYTES]


class ServerQuicConnection(QuicConnection):
    """A QUIC connection of the listener; its stateless reset tokens are derived from its connection ids.

    So the listener can reset a connection without having stored its tokens.
    """

    def __init__(self, key: bytes, streams: int, **library_options: Any) -> None:
        """Create a `ServerQuicConnection`.

        :param key: the listener's secret key for reset tokens.
        :param streams: requests that may be open at once.
        :param library_options: arguments of `QuicConnection`.
        """
        self._key = key
        super().__init__(**library_options)
        # The initial limit; the library permits another request for each one that ends.
        self._local_max_streams_bidi.value = self._local_max_streams_bidi.sent = streams
        self._host_cids[0].stateless_reset_token = reset_token(key, self.host_cid)

    def _replenish_connection_ids(self) -> None:
        before = len(self._host_cids)
        super()._replenish_connection_ids()
        for id in self._host_cids[before:]:
            id.stateless_reset_token = reset_token(self._key, id.cid)


def peer_reset_tokens(quic: QuicConnection) -> list[bytes]:
    """Return the stateless reset tokens of the peer's connection ids."""
    ids: list[QuicConnectionId] = [quic._peer_cid, *quic._peer_cid_available]
    return [id.stateless_reset_token for id in ids if id.stateless_reset_token]


def is_fully_sent(quic: QuicConnection, stream_id: int) -> bool:
    """Return whether the last byte of a stream and its FIN were sent at least once."""
    stream = quic._streams.get(stream_id)
    if stream is None:
        return True  # the library discards a stream once all of it is acknowledged
    sender = stream.sender
    return sender._buffer_fin is not None and not sender._pending_eof and not len(sender._pending)


def is_stream_finished(quic: QuicConnection, stream_id: int) -> bool:
    """Return whether both directions of a stream have ended and all sent data is acknowledged."""
    return stream_id not in quic._streams


def peer_close_code(quic: QuicConnection) -> int | None:
    """Return the error code with which the peer closed the connection; None while it has not.

    The library's `ConnectionTerminated` event follows only after the draining period.
    """
    if quic._state is not QuicConnectionState.DRAINING or quic._close_event is None:
        return None
    return int(quic._close_event.error_code)


def probe_timeout_ms(quic: QuicConnection) -> float:
    """Return the probe timeout (RFC 9002, section 6.2), after which unacknowledged data is sent again."""
    return 1000.0 * float(quic._loss.get_probe_timeout())


def unanswered_probes(quic: QuicConnection) -> int:
    """Return the number of consecutive probe timeouts without an acknowledgement."""
    return int(quic._loss._pto_count)


def largest_packet_number(quic: QuicConnection) -> int:
    """Return the largest packet number received with 1-RTT keys; -1 before the first such packet."""
    space = quic._spaces.get(Epoch.ONE_RTT)
    return int(space.largest_received_packet) if space is not None else -1


def has_short_header(datagram: bytes) -> bool:
    """Return whether a datagram begins with a 1-RTT packet, which is readable only after the handshake."""
    return datagram[:1] < LONG_HEADER


def is_confirmed(quic: QuicConnection) -> bool:
    """Return whether a client's handshake is confirmed, that is complete at both ends (RFC 9001, 4.1.2)."""
    return bool(quic._handshake_confirmed)


def was_sent_by(quic: QuicConnection, datagram: bytes) -> bool:
    """Return whether a connection sent a datagram.

    The datagram then bears a connection id that only the two ends and the path between them know.
    """
    ids = [id.cid for id in (quic._peer_cid, *quic._peer_cid_available) if id.cid]
    start = SHORT_HEADER_ID_OFFSET if has_short_header(datagram) else LONG_HEADER_ID_OFFSET
    return any(datagram.startswith(id, start) for id in ids)


def streams_left(quic: QuicConnection) -> int:
    """Return the number of further requests that the peer's stream limit permits now."""
    return int(quic._remote_max_streams_bidi - quic._local_next_stream_id_bidi // 4)


def new_stream(quic: QuicConnection) -> int:
    """Return the stream id of the next request."""
    return int(quic.get_next_available_stream_id())


class HasConnectionIds(Protocol):
    """A connection in a `ConnectionIdTable`."""

    cids: set[bytes]


Owner = TypeVar("Owner", bound=HasConnectionIds)


class ConnectionIdTable(Generic[Owner]):
    """Connections by connection id; an id is valid until it is retired or its connection ends."""

    def __init__(self) -> None:
        self._owners: dict[bytes, Owner] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def get(self, cid: bytes) -> Owner | None:
        """Return the connection that an id belongs to; None for an unknown id."""
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

    def remove_all(self, owner: Owner) -> None:
        """Remove all ids of a connection."""
        for cid in owner.cids:
            self._owners.pop(cid, None)
        owner.cids.clear()


class QuicTransport:
    """Passes received datagrams and timer expirations to a QUIC connection, and sends its datagrams."""

    def __init__(
        self,
        quic: QuicConnection,
        loop: asyncio.AbstractEventLoop,
        sendto: Callable[[bytes, Endpoint], None],
        on_event: Callable[[QuicEvent], None],
        on_flushed: Callable[[], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Create a `QuicTransport`.

        :param sendto: sends a datagram to a peer.
        :param on_event: handles an event of the connection.
        :param on_flushed: called after each flush.
        :param on_failure: called when handling the connection raised an exception.
        """
        self.quic = quic
        self._loop = loop
        self._sendto = sendto
        self._on_event = on_event
        self._on_flushed = on_flushed
        self._on_failure = on_failure
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0  # when the timer expires, by `time.monotonic`
        self._flush_handle: asyncio.Handle | None = None
        self._copies_next_flush = False
        self._closed = False

    def receive(self, data: bytes, peer: Endpoint) -> None:
        """Handle a datagram; an exception, even one within the library, ends only this connection."""
        try:
            self.quic.receive_datagram(data, peer, now=time.monotonic())
            self._handle_events()
        except Exception:
            log.exception("QUIC connection dropped: error while handling a datagram")
            return self._on_failure()
        self.flush_soon()
        return None

    def flush_soon(self) -> None:
        """Send pending datagrams once the callbacks that the event loop has scheduled so far have run."""
        if self._flush_handle is None and not self._closed:
            self._flush_handle = self._loop.call_soon(self.flush)

    def flush_twice_soon(self) -> None:
        """Do as `flush_soon`, and send the datagrams once more after `COPY_DELAY_S`.

        For data that would come too late if it were resent only after a probe timeout. The peer discards the
        copies as duplicates (RFC 9000, section 12.3).
        """
        self._copies_next_flush = True
        self.flush_soon()

    def flush(self) -> None:
        """Send pending datagrams now."""
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
            log.exception("QUIC connection dropped: error while sending")
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
            log.exception("QUIC connection dropped: error while handling its timer")
            return self._on_failure()
        self.flush()
        return None

    def _handle_events(self) -> None:
        while (event := self.quic.next_event()) is not None:
            self._on_event(event)

    def stop(self) -> None:
        """Cancel the timer, and send nothing more."""
        self._closed = True
        for handle in (self._timer, self._flush_handle):
            if handle is not None:
                handle.cancel()
        self._timer = self._flush_handle = None
