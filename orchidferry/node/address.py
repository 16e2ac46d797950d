"""Network addresses as settings and server lists write them."""

from __future__ import annotations

from orchidferry.balancing.settings import SettingsFormatError

Address = tuple[str, int]  # host and port

MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Split `host:port`; the host of an IPv6 address stands in brackets.

    :raises SettingsFormatError: if the text has another form or the port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise SettingsFormatError(f"{text!r:.60} is no address of the form host:port")
    return host.strip("[]"), int(port)
