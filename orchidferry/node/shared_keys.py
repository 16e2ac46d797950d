"""Shared secrets with names, as operators write them: NAME=SECRET, the first signs, all are believed."""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.balancing.settings import SettingsFormatError

MIN_SECRET_LENGTH = 32  # characters of a secret

Keys = tuple[tuple[str, bytes], ...]  # name and secret


def parse_keys(found: Iterable[object], most: int) -> Keys:
    """`SettingsFormatError` says which is wrong, by its place: a key has no place in a log."""
    keys: list[tuple[str, bytes]] = []
    for one in found:
        name, equals, secret = one.partition("=") if isinstance(one, str) else ("", "", "")
        if not equals or not name.isalnum() or not name.isascii() or len(name) > 16:
            raise SettingsFormatError(f"keys[{len(keys)}]: is not NAME=SECRET")
        if len(secret) < MIN_SECRET_LENGTH:
            raise SettingsFormatError(
                f"keys[{len(keys)}]: the secret has less than {MIN_SECRET_LENGTH} characters"
            )
        keys.append((name, secret.encode()))
    if len(keys) > most or len({name for name, _ in keys}) < len(keys):
        raise SettingsFormatError(f"keys: {most} at most, each with a name of its own")
    return tuple(keys)
