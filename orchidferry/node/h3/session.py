"""HTTP/3 on one QUIC connection: the library's framing, with what it lacks.

The library (aioquic) ends a connection for one malformed message, ignores GOAWAY, and accepts header blocks
of any size. Here a malformed message affects only its stream (RFC 9114, section 4.1.2), GOAWAY is read and
sent (5.2), and a block may have `MAX_HEAD` bytes. The QPACK table has no entries: with one of 4 KB, 16 KB of
references would make 60 MB of headers. What is used of the library's private attributes stands here and in
`quic_transport.py`.
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

LAST_STREAM = (1 << 62) - 4  # the greatest id of a request: a GOAWAY with it excludes none
MAX_IGNORED = 1_024  # streams whose rest is ignored

__all__ = ["DataReceived", "ErrorCode", "GoAway", "HeadersReceived", "Malformed", "Session"]


@dataclass(slots=True)
class Malformed(H3Event):
    """A malformed message; a request is answered with `status`."""

    stream_id: int
    status: int
    reason: str


@dataclass(slots=True)
class GoAway(H3Event):
    """The peer accepts no request on this stream and later ones."""

    stream_id: int


class _ControlTap:
    """Finds GOAWAY frames in a peer's control stream; buffers some 16 bytes at most."""

    def __init__(self) -> None:
        self._unparsed = b""
        self._skip = 0
        self._typed = False
        self.other = False  # whether it is another kind of stream

    def feed(self, data: bytes) -> list[int]:
        """Read data; return the stream ids of GOAWAY frames."""
        events = []
        data = self._unparsed + data
        while data and not self.other:
            if self._skip:
                skipped = min(self._skip, len(data))
                data = data[skipped:]
                self._skip = self._skip - skipped
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
                        events.append(buf.pull_uint_var())
                    data = data[begun:]
                    self._skip = length
                    continue
                else:
                    self._skip = buf.pull_uint_var()
            except BufferReadError:
                break  # a number is not complete
            data = data[buf.tell() :]
        self._unparsed = data if not self.other else b""
        return events


class Session(H3Connection):
    """The HTTP/3 layer of one connection: `take` turns QUIC events into those of HTTP."""

    def __init__(self, quic: QuicConnection) -> None:
        self._control_readers: dict[int, _ControlTap] = {}
        self._ignored: set[int] = set()
        super().__init__(quic)

    # The library sets these two.
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
        """Return the HTTP events of a QUIC event; none if that is an error that closes the connection."""
        if not isinstance(event, StreamDataReceived):
            if isinstance(event, StreamReset):
                self._ignored.discard(event.stream_id)
            return self.handle_event(event)
        id = event.stream_id
        if self._is_done:
            return []
        if id in self._ignored:
            if event.end_stream:
                self._ignored.discard(id)
            return []
        events: list[H3Event] = []
        if stream_is_unidirectional(id):
            events += self._read_control(id, event.data)
        try:
            events += self._receive_stream_data(event)
        except MessageError as problem:
            return [*events, self._malformed(event, 400, problem.reason_phrase or "malformed message")]
        except ProtocolError as problem:
            self._is_done = True
            self._quic.close(error_code=problem.error_code, reason_phrase=problem.reason_phrase)
            return []
        stream = self._stream.get(id)
        if stream is not None and stream.frame_type == FrameType.HEADERS:
            if (stream.frame_size or 0) > MAX_HEAD:
                return [*events, self._malformed(event, 431, "headers too large")]
        elif stream is not None and len(stream.buffer) > MAX_HEAD:
            return [*events, self._malformed(event, 431, "headers too large")]
        return events

    def _read_control(self, id: int, data: bytes) -> list[H3Event]:
        reader = self._control_readers.setdefault(id, _ControlTap())
        if reader.other:
            return []
        return [GoAway(stream) for stream in reader.feed(data)]

    def _malformed(self, event: StreamDataReceived, status: int, reason: str) -> Malformed:
        """Read no more of a stream; a request on it can still be answered."""
        stream = self._stream.get(event.stream_id)
        if stream is not None:
            stream.receiving_ended = True
            stream.buffer = b""
        self.ignore(event.stream_id, event.end_stream)
        return Malformed(event.stream_id, status, reason)

    def ignore(self, id: int, ended: bool) -> None:
        """Ignore what comes on a stream from now on.

        :param ended: whether nothing can come any more.
        """
        if not ended:
            if len(self._ignored) >= MAX_IGNORED:
                self._ignored.clear()  # what comes on them counts as malformed again
            self._ignored.add(id)

    def is_ignored(self, id: int) -> bool:
        """Return whether what comes on a stream is ignored."""
        return id in self._ignored

    def forget(self, id: int) -> None:
        """Forget a stream that was reset."""
        self._ignored.discard(id)
        self._stream.pop(id, None)

    def send_goaway(self, stream_id: int) -> None:
        """Announce that requests from this stream id on are not accepted (RFC 9114, section 5.2)."""
        assert self._local_control_stream_id is not None
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        self._quic.send_stream_data(self._local_control_stream_id, frame)
