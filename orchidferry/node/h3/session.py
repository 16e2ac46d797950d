"""HTTP/3 on one QUIC connection: the library's framing, with what it leaves out.

The library (aioquic) ends the whole connection for one malformed message, passes over GOAWAY, and takes
header blocks of any size. Here a malformed message is its stream's matter (RFC 9114, section 4.1.2), GOAWAY
is read and sent (5.2), and a block may have `MAX_HEAD` bytes. The QPACK table is kept at 0: with a table of
4 KB, 16 KB of references make 60 MB of headers. What is used of the library's inside stands in this file
and in `shell.py`.
"""

from __future__ import annotations

from dataclasses import dataclass

from aioquic.buffer import Buffer, BufferReadError, encode_uint_var
from aioquic.h3.connection import (
    ErrorCode,
    FrameType,
    H3Connection,
    MessageError,
    ProtocolError,
    StreamType,
    encode_frame,
)
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.connection import QuicConnection, stream_is_unidirectional
from aioquic.quic.events import QuicEvent, StreamDataReceived, StreamReset

from orchidferry.node.http1 import MAX_HEAD

LAST_STREAM = (1 << 62) - 4  # the greatest id that a request can have: GOAWAY with it turns nothing away yet
MAX_DEAD = 1_024  # streams that ended badly and whose rest is still to come

__all__ = ["DataReceived", "ErrorCode", "GoAway", "HeadersReceived", "Malformed", "Session"]


@dataclass(slots=True)
class Malformed(H3Event):
    """A message that breaks the rules; `status` is what to answer a request with."""

    stream_id: int
    status: int
    why: str


@dataclass(slots=True)
class GoAway(H3Event):
    """The peer will take no request on this stream, nor on later ones."""

    stream_id: int


class _ControlTap:
    """Reads GOAWAY out of a peer's control stream, and holds some 16 bytes at most."""

    def __init__(self) -> None:
        self._held = b""
        self._skip = 0
        self._typed = False
        self.other = False  # it is another kind of stream

    def feed(self, data: bytes) -> list[int]:
        found = []
        data = self._held + data
        while data and not self.other:
            if self._skip:
                cut = min(self._skip, len(data))
                data = data[cut:]
                self._skip = self._skip - cut
                continue
            buf = Buffer(data=data)
            try:
                first = buf.pull_uint_var()
                if not self._typed:
                    self._typed = True
                    self.other = first != StreamType.CONTROL
                elif first == FrameType.GOAWAY:
                    length = buf.pull_uint_var()
                    begun = buf.tell()
                    if length <= 8:
                        found.append(buf.pull_uint_var())
                    data = data[begun:]
                    self._skip = length
                    continue
                else:
                    self._skip = buf.pull_uint_var()
            except BufferReadError:
                break  # the rest of a number is still to come
            data = data[buf.tell() :]
        self._held = data if not self.other else b""
        return found


class Session(H3Connection):
    """The HTTP/3 side of one connection. `take` turns QUIC events into HTTP ones."""

    def __init__(self, quic: QuicConnection) -> None:
        self._taps: dict[int, _ControlTap] = {}
        self._dead: set[int] = set()
        super().__init__(quic)

    # The library sets these two for itself.
    @property
    def _max_table_capacity(self) -> int:
        return 0

    @_max_table_capacity.setter
    def _max_table_capacity(self, value: int) -> None:
        pass

    @property
    def _blocked_streams(self) -> int:
        return 0

    @_blocked_streams.setter
    def _blocked_streams(self, value: int) -> None:
        pass

    def take(self, event: QuicEvent) -> list[H3Event]:
        """HTTP events; a break of the protocol as a whole closes the connection, and gives none."""
        if not isinstance(event, StreamDataReceived):
            if isinstance(event, StreamReset):
                self._dead.discard(event.stream_id)
            return self.handle_event(event)
        id = event.stream_id
        if self._is_done:
            return []
        if id in self._dead:
            if event.end_stream:
                self._dead.discard(id)
            return []
        found: list[H3Event] = []
        if stream_is_unidirectional(id):
            found += self._tapped(id, event.data)
        try:
            found += self._receive_stream_data(event)
        except MessageError as problem:
            return [*found, self._spoilt(event, 400, problem.reason_phrase or "malformed message")]
        except ProtocolError as problem:
            self._is_done = True
            self._quic.close(error_code=problem.error_code, reason_phrase=problem.reason_phrase)
            return []
        stream = self._stream.get(id)
        if stream is not None and stream.frame_type == FrameType.HEADERS:
            if (stream.frame_size or 0) > MAX_HEAD:
                return [*found, self._spoilt(event, 431, "headers too large")]
        elif stream is not None and len(stream.buffer) > MAX_HEAD:
            return [*found, self._spoilt(event, 431, "headers too large")]
        return found

    def _tapped(self, id: int, data: bytes) -> list[H3Event]:
        tap = self._taps.setdefault(id, _ControlTap())
        if tap.other:
            return []
        return [GoAway(stream) for stream in tap.feed(data)]

    def _spoilt(self, event: StreamDataReceived, status: int, why: str) -> Malformed:
        """Read no more of a stream; it can still be answered."""
        stream = self._stream.get(event.stream_id)
        if stream is not None:
            stream.receiving_ended = True
            stream.buffer = b""
        self.ignore(event.stream_id, event.end_stream)
        return Malformed(event.stream_id, status, why)

    def ignore(self, id: int, ended: bool) -> None:
        """What comes on a stream from now on is dropped."""
        if not ended:
            if len(self._dead) >= MAX_DEAD:
                self._dead.clear()  # what comes of them then is malformed once more
            self._dead.add(id)

    def is_dead(self, id: int) -> bool:
        """Whether what comes on a stream is dropped."""
        return id in self._dead

    def done_with(self, id: int) -> None:
        """Nothing more is to be said on a stream, which was ended without an end of its own."""
        self._dead.discard(id)
        self._stream.pop(id, None)

    def say_goaway(self, stream_id: int) -> None:
        """Tell the peer that requests from this stream on are not taken (RFC 9114, section 5.2)."""
        assert self._local_control_stream_id is not None
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        self._quic.send_stream_data(self._local_control_stream_id, frame)
