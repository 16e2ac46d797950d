"""Network addresses in the notation of settings and server lists."""

from __future__ import annotations

from orchidferry.balancing.settings import SettingsFormatError

Address = tuple[str, int]  # host and port

MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Parse `host:port`; an IPv6 address is written in brackets.

    :raises SettingsFormatError: if the text is malformed or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise SettingsFormatError(f"{text!r:.60} is no address of the form host:port")
    return host.strip("[]"), int(port)
