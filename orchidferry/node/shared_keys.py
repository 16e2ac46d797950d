"""Named shared secrets in operators' settings files, written as `NAME=SECRET`.

The first key is used for signing; signatures by any of the keys are accepted, so that keys can be rotated.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.balancing.settings import SettingsFormatError

MIN_SECRET_LENGTH = 32  # characters
MAX_NAME_LENGTH = 16  # characters

Keys = tuple[tuple[str, bytes], ...]  # name and secret of each key


def parse_keys(texts: Iterable[object], max_keys: int) -> Keys:
    """Parse a list of keys.

    :param max_keys: maximum number of keys.
    :raises SettingsFormatError: names a key only by its index, as a secret must not appear in a log.
    """
    keys = [_parse_key(index, text) for index, text in enumerate(texts)]
    if len(keys) > max_keys or len({name for name, _ in keys}) < len(keys):
        raise SettingsFormatError(f"keys: {max_keys} at most, each with a name of its own")
    return tuple(keys)


def _parse_key(index: int, text: object) -> tuple[str, bytes]:
    name, equals, secret = text.partition("=") if isinstance(text, str) else ("", "", "")
    if not equals or not name.isalnum() or not name.isascii() or len(name) > MAX_NAME_LENGTH:
        raise SettingsFormatError(f"keys[{index}]: is not NAME=SECRET")
    if len(secret) < MIN_SECRET_LENGTH:
        raise SettingsFormatError(f"keys[{index}]: the secret has less than {MIN_SECRET_LENGTH} characters")
    return name, secret.encode()
