"""Shared secrets with names, as operators write them: NAME=SECRET, the first signs, all are believed."""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.balancing.settings import Malformed

KEY_LEAST = 32  # characters of a secret

Keys = tuple[tuple[str, bytes], ...]  # name and secret


def read_keys(found: Iterable[object], most: int) -> Keys:
    """`Malformed` says which is wrong, by its place: a key has no place in a log."""
    keys: list[tuple[str, bytes]] = []
    for one in found:
        name, equals, secret = one.partition("=") if isinstance(one, str) else ("", "", "")
        if not equals or not name.isalnum() or not name.isascii() or len(name) > 16:
            raise Malformed(f"keys[{len(keys)}]: is not NAME=SECRET")
        if len(secret) < KEY_LEAST:
            raise Malformed(f"keys[{len(keys)}]: the secret has less than {KEY_LEAST} characters")
        keys.append((name, secret.encode()))
    if len(keys) > most or len({name for name, _ in keys}) < len(keys):
        raise Malformed(f"keys: {most} at most, each with a name of its own")
    return tuple(keys)
