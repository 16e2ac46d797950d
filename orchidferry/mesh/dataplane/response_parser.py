"""A parser of HTTP responses that is strict about the bytes beside them."""

from __future__ import annotations

from typing import Protocol

import httptools

LINE_END = b"\r\n"


class ResponseHandler(Protocol):
    """What the parser calls, besides the callbacks that `httptools` calls."""

    @property
    def complete(self) -> bool:
        """Whether the response being read has come whole."""

    def before_parsing(self, data: bytes) -> None:
        """These bytes are about to be parsed."""


class ResponseParser:
    """`httptools.HttpResponseParser`, but for bytes beside a response.

    The library skips line ends between messages in silence, and takes a switch of protocols after a complete
    response for a fault of that response.
    """

    __slots__ = ("_handler", "_parser", "get_status_code", "should_keep_alive")

    def __init__(self, handler: ResponseHandler) -> None:
        self._handler = handler
        self._parser = httptools.HttpResponseParser(handler)
        self.get_status_code = self._parser.get_status_code
        self.should_keep_alive = self._parser.should_keep_alive

    def feed_data(self, data: bytes) -> None:
        """Parse what has come.

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
