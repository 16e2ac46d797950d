"""An HTTP response parser that is strict about bytes before and after a response."""

from __future__ import annotations

from typing import Protocol

import httptools

LINE_END = b"\r\n"


class ResponseHandler(Protocol):
    """The interface that the parser needs, besides the callbacks of `httptools`."""

    @property
    def complete(self) -> bool:
        """Whether the response being read is complete."""

    def before_parsing(self, data: bytes) -> None:
        """Called before `data` is parsed."""


class ResponseParser:
    """`httptools.HttpResponseParser` with strict handling of bytes before and after a response.

    The library silently skips line ends between messages, and reports a protocol switch that follows a
    complete response as an error of that response.
    """

    __slots__ = ("_handler", "_parser", "get_status_code", "should_keep_alive")

    def __init__(self, handler: ResponseHandler) -> None:
        self._handler = handler
        self._parser = httptools.HttpResponseParser(handler)
        self.get_status_code = self._parser.get_status_code
        self.should_keep_alive = self._parser.should_keep_alive

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes.

        :raises httptools.HttpParserError: for malformed HTTP, and for any byte after a complete response.
        """
        handler = self._handler
        handler.before_parsing(data)
        try:
            if data[-1] not in LINE_END or len(data) == 1:
                return self._parser.feed_data(data)
            self._parser.feed_data(memoryview(data)[:-1])
            if handler.complete:
                raise httptools.HttpParserError("a line end after the response")
            self._parser.feed_data(data[-1:])
        except httptools.HttpParserUpgrade:
            if handler.complete:
                raise httptools.HttpParserError("a switch of protocols after the response") from None
            raise
