"""The HTTP/3 layer of one QUIC connection: that of the library, with additions.

The library (aioquic) closes a connection for one malformed message, ignores GOAWAY, and accepts header
sections of any size. Here a malformed message affects only its stream (RFC 9114, section 4.1.2), GOAWAY
frames are read and sent (section 5.2), and a header section may have at most `MAX_HEAD` bytes. The QPACK
dynamic table is disabled: with a table of 4 KB, 16 KB of references would expand to 60 MB of headers. Only
this module and `quic_transport.py` use private attributes of the library.
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

LAST_STREAM = (1 << 62) - 4  # the greatest stream id of a request: a GOAWAY with it excludes no real request
MAX_IGNORED = 1_024  # streams on which further data is ignored

__all__ = ["DataReceived", "ErrorCode", "GoAway", "HeadersReceived", "Malformed", "Session"]


@dataclass(slots=True)
class Malformed(H3Event):
    """A malformed message was received."""

    stream_id: int
    status: int  # status code of the response, if the message is a request
    reason: str


@dataclass(slots=True)
class GoAway(H3Event):
    """The peer does not accept requests with this stream id or a greater one."""

    stream_id: int


class _GoawayParser:
    """Finds GOAWAY frames in a unidirectional stream of the peer; buffers about 16 bytes at most."""

    def __init__(self) -> None:
        self._unparsed = b""  # the beginning of an incomplete integer, or of a GOAWAY frame
        self._skip = 0  # bytes of a frame's payload that are still to be skipped
        self._has_type = False  # whether the type of the stream was read
        self.is_other_type = False  # whether it is not the control stream

    def feed(self, data: bytes) -> list[int]:
        """Parse data; return the stream ids in its GOAWAY frames."""
        goaway_ids = []
        data = self._unparsed + data
        while data and not self.is_other_type:
            if self._skip:
                skipped = min(self._skip, len(data))
                data = data[skipped:]
                self._skip = self._skip - skipped
                continue
            buf = Buffer(data=data)
            try:
                type_code = buf.pull_uint_var()
                if not self._has_type:
                    self._has_type = True
                    self.is_other_type = type_code != StreamType.CONTROL
                elif type_code == FrameType.GOAWAY:
                    length = buf.pull_uint_var()
                    payload_begin = buf.tell()
                    if length <= 8:
                        goaway_ids.append(buf.pull_uint_var())
                    data = data[payload_begin:]
                    self._skip = length
                    continue
                else:
                    self._skip = buf.pull_uint_var()
            except BufferReadError:
                break  # an integer is incomplete
            data = data[buf.tell() :]
        self._unparsed = data if not self.is_other_type else b""
        return goaway_ids


class Session(H3Connection):
    """The HTTP/3 layer of one connection: `handle_quic_event` turns QUIC events into HTTP/3 events."""

    def __init__(self, quic: QuicConnection) -> None:
        self._goaway_parsers: dict[int, _GoawayParser] = {}  # by the id of a unidirectional stream
        self._ignored: set[int] = set()  # ids of streams on which further data is ignored
        super().__init__(quic)

    # The library assigns these two attributes; as properties they stay 0, which disables the dynamic table.
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

    def handle_quic_event(self, event: QuicEvent) -> list[H3Event]:
        """Return the HTTP/3 events of a QUIC event; none after an error that closes the connection."""
        if not isinstance(event, StreamDataReceived):
            if isinstance(event, StreamReset):
                self._ignored.discard(event.stream_id)
            return self.handle_event(event)
        stream_id = event.stream_id
        if self._is_done:
            return []
        if stream_id in self._ignored:
            if event.end_stream:
                self._ignored.discard(stream_id)
            return []
        events: list[H3Event] = []
        if stream_is_unidirectional(stream_id):
            events += self._find_goaways(stream_id, event.data)
        try:
            events += self._receive_stream_data(event)
        except MessageError as problem:
            return [*events, self._malformed(event, 400, problem.reason_phrase or "malformed message")]
        except ProtocolError as problem:
            self._is_done = True
            self._quic.close(error_code=problem.error_code, reason_phrase=problem.reason_phrase)
            return []
        stream = self._stream.get(stream_id)
        if stream is not None and stream.frame_type == FrameType.HEADERS:
            if (stream.frame_size or 0) > MAX_HEAD:
                return [*events, self._malformed(event, 431, "headers too large")]
        elif stream is not None and len(stream.buffer) > MAX_HEAD:
            return [*events, self._malformed(event, 431, "headers too large")]
        return events

    def _find_goaways(self, stream_id: int, data: bytes) -> list[H3Event]:
        parser = self._goaway_parsers.setdefault(stream_id, _GoawayParser())
        if parser.is_other_type:
            return []
        return [GoAway(goaway_id) for goaway_id in parser.feed(data)]

    def _malformed(self, event: StreamDataReceived, status: int, reason: str) -> Malformed:
        """Ignore the rest of a stream with a malformed message; a request on it can still be answered."""
        stream = self._stream.get(event.stream_id)
        if stream is not None:
            stream.receiving_ended = True
            stream.buffer = b""
        self.ignore(event.stream_id, event.end_stream)
        return Malformed(event.stream_id, status, reason)

    def ignore(self, stream_id: int, ended: bool) -> None:
        """Ignore further data on a stream.

        :param ended: whether the peer has ended the stream, so that no further data can arrive.
        """
        if not ended:
            if len(self._ignored) >= MAX_IGNORED:
                self._ignored.clear()  # further data on these streams counts as malformed again
            self._ignored.add(stream_id)

    def is_ignored(self, stream_id: int) -> bool:
        """Return whether further data on a stream is ignored."""
        return stream_id in self._ignored

    def forget(self, stream_id: int) -> None:
        """Forget the state of a stream that was reset."""
        self._ignored.discard(stream_id)
        self._stream.pop(stream_id, None)

    def send_goaway(self, stream_id: int) -> None:
        """Send a GOAWAY frame (RFC 9114, section 5.2): requests from this stream id on are not accepted."""
        assert self._local_control_stream_id is not None
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(stream_id))
        self._quic.send_stream_data(self._local_control_stream_id, frame)
