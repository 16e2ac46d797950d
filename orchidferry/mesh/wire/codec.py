"""Messages as bytes and back: cbor2 lists with a length in front. What can't be read is told by its field."""

from __future__ import annotations

import re
from typing import Any, get_args

import cbor2
import msgspec

from orchidferry.errors import OrchidferryError
from orchidferry.mesh.wire.messages import KINDS, Greeting, Message, ShardMessage, kind_of
from orchidferry.mesh.wire.shard_messages import Body, ShardBody, tag_of

LENGTH_BYTES = 4
NATIVE = (bytes,)  # cbor2 carries them as they are
MAX_TOLD = 200  # characters of a problem that go into a log line
SHARD_KINDS: dict[str, type[Body]] = {tag_of(kind): kind for kind in get_args(ShardBody)}
_PATH = re.compile(r" - at `\$(?P<steps>(?:\[[^\]]*\])*)`")


class MessageDecodeError(OrchidferryError, ValueError):
    """Bytes that are no message; the text is one line that names the kind and the field."""


def as_list(message: Message) -> list[Any]:
    """A message in plain lists, its kind first."""
    found: list[Any] = msgspec.to_builtins(message, builtin_types=NATIVE)
    return found


def encode(message: Message) -> bytes:
    """A message as it goes out."""
    body = cbor2.dumps(as_list(message))
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode(body: bytes) -> Message:
    """The message in these bytes, without their length; `MessageDecodeError` for what is none."""
    try:
        parts = cbor2.loads(body)
    except (cbor2.CBORDecodeError, ValueError) as problem:
        raise MessageDecodeError(f"no CBOR: {problem!s:.{MAX_TOLD}}") from None
    return from_list(parts)


def from_list(parts: Any) -> Message:
    """The message in a list; `MessageDecodeError` for what is none."""
    if not isinstance(parts, list) or not parts or not isinstance(parts[0], str):
        raise MessageDecodeError("a message is a list that begins with its kind")
    kind = KINDS.get(parts[0])
    if kind is None:
        raise MessageDecodeError(f"no message of kind {parts[0]!r:.40}")
    try:
        return msgspec.convert(parts, kind, builtin_types=NATIVE)
    except msgspec.ValidationError as problem:
        raise MessageDecodeError(_describe(kind, parts, str(problem))) from None


def spoken_protocol(body: bytes) -> Any:
    """The number of the protocol that a link's first message names; None if it names none."""
    try:
        match cbor2.loads(body):
            case [kind, number] if kind == kind_of(Greeting):
                return number
    except (cbor2.CBORDecodeError, ValueError):
        pass
    return None


def _describe(kind: type[Message], parts: list[Any], problem: str) -> str:
    """What msgspec says, with the names of fields in place of their positions."""
    found = _PATH.search(problem)
    if found is None:
        return f"{kind_of(kind)}: {problem:.{MAX_TOLD}}"
    steps = re.findall(r"\[([^\]]*)\]", found["steps"])
    where = _field_names(kind, parts, steps)
    return f"{where}: {problem[: found.start()]:.{MAX_TOLD}}"


def _field_names(kind: type[Message], parts: list[Any], steps: list[str]) -> str:
    names = [kind_of(kind), _field(kind, steps[0])]
    rest = steps[1:]
    if kind is ShardMessage and names[-1] == "body":
        inside = _shard_kind(parts)
        names += [tag_of(inside)] if inside is not None else []
        names += [_field(inside or Body, step) for step in rest[:1]]
        rest = rest[1:]
    return ": ".join(names) + "".join(f"[{step}]" for step in rest)


def _field(kind: type[msgspec.Struct], step: str) -> str:
    """The name of the field at a position of a list whose first part is the kind."""
    return kind.__struct_fields__[int(step) - 1] if step != "0" else "kind"


def _shard_kind(parts: list[Any]) -> type[Body] | None:
    body = parts[ShardMessage.__struct_fields__.index("body") + 1]
    tag = body[0] if isinstance(body, list) and body else None
    return SHARD_KINDS.get(tag) if isinstance(tag, str) else None
