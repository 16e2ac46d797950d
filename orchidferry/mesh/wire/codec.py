"""Encoding of messages: length-prefixed CBOR arrays (RFC 8949).

The error for a message that can't be decoded names the message's tag and the field that is wrong.
"""

from __future__ import annotations

import re
from typing import Any, get_args

import cbor2
import msgspec

from orchidferry.errors import OrchidferryError
from orchidferry.mesh.wire.messages import TYPE_BY_TAG, Greeting, Message, ShardMessage
from orchidferry.mesh.wire.shard_messages import ShardBody, ShardBodyBase, tag_of

LENGTH_BYTES = 4  # size of the big-endian length prefix of a message
CBOR_NATIVE_TYPES = (bytes,)  # types that cbor2 encodes itself, so that msgspec must not convert them
MAX_PROBLEM_CHARS = 200  # a decoder's error text is truncated to this length in a `MessageDecodeError`
MAX_TAG_CHARS = 40  # an unknown tag is truncated to this length in a `MessageDecodeError`
SHARD_TYPE_BY_TAG: dict[str, type[ShardBodyBase]] = {tag_of(body): body for body in get_args(ShardBody)}
# The path of a list item in msgspec's error texts.
_ERROR_PATH = re.compile(r" - at `\$(?P<steps>(?:\[[^\]]*\])*)`")
_PATH_STEP = re.compile(r"\[([^\]]*)\]")  # one index of such a path


class MessageDecodeError(OrchidferryError, ValueError):
    """Bytes could not be decoded as a message; the text is one line.

    :ivar location: tag of the message and name of the wrong field; empty if the message has no known tag
    """

    def __init__(self, problem: str, location: str = "") -> None:
        super().__init__(f"{location}: {problem}" if location else problem)
        self.location = location


def to_list(message: Message) -> list[Any]:
    """Return a message as a list of plain values that begins with the message's tag."""
    values: list[Any] = msgspec.to_builtins(message, builtin_types=CBOR_NATIVE_TYPES)
    return values


def encode(message: Message) -> bytes:
    """Return a message as it is sent: its length prefix, then its values as CBOR."""
    body = cbor2.dumps(to_list(message))
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode(body: bytes) -> Message:
    """Decode a message.

    :param body: the bytes of one message, without its length prefix
    :raises MessageDecodeError: if they are not a valid message
    """
    try:
        values = cbor2.loads(body)
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise MessageDecodeError(f"not valid CBOR: {error!s:.{MAX_PROBLEM_CHARS}}") from None
    return from_list(values)


def from_list(values: Any) -> Message:
    """Return the message that `to_list` converted to a list.

    :param values: the list, as `to_list` returns it
    :raises MessageDecodeError: if the values are not a valid message
    """
    if not isinstance(values, list) or not values or not isinstance(values[0], str):
        raise MessageDecodeError("a message must be a list that begins with its kind")
    message_type = TYPE_BY_TAG.get(values[0])
    if message_type is None:
        raise MessageDecodeError(f"unknown kind of message {values[0]!r:.{MAX_TAG_CHARS}}")
    try:
        return msgspec.convert(values, message_type, builtin_types=CBOR_NATIVE_TYPES)
    except msgspec.ValidationError as error:
        raise _decode_error(message_type, values, str(error)) from None


def greeting_protocol(body: bytes) -> Any:
    """Return the protocol number in the first message of a link.

    :param body: the bytes of the message, without its length prefix; a later build may encode them otherwise
    :returns: the number as it was sent, of any type; None if the message is not a greeting
    """
    try:
        match cbor2.loads(body):
            case [tag, number] if tag == tag_of(Greeting):
                return number
    except (cbor2.CBORDecodeError, ValueError):
        pass
    return None


def _decode_error(message_type: type[Message], values: list[Any], problem: str) -> MessageDecodeError:
    """Convert an error text of msgspec: the item's position at its end becomes the names of fields."""
    path = _ERROR_PATH.search(problem)
    if path is None:
        return MessageDecodeError(f"{problem:.{MAX_PROBLEM_CHARS}}", tag_of(message_type))
    location = _location(message_type, values, _PATH_STEP.findall(path["steps"]))
    return MessageDecodeError(f"{problem[: path.start()]:.{MAX_PROBLEM_CHARS}}", location)


def _location(message_type: type[Message], values: list[Any], steps: list[str]) -> str:
    names = [tag_of(message_type), _field_name(message_type, steps[0])]
    inner_steps = steps[1:]
    if message_type is ShardMessage and names[-1] == "body":
        body_type = _shard_body_type(values)
        if body_type is not None:
            names.append(tag_of(body_type))
        names += [_field_name(body_type or ShardBodyBase, step) for step in inner_steps[:1]]
        inner_steps = inner_steps[1:]
    return ": ".join(names) + "".join(f"[{step}]" for step in inner_steps)


def _field_name(struct_type: type[msgspec.Struct], step: str) -> str:
    """Return the name of the field at an index of an encoded struct; "kind" for the tag, at index 0."""
    return struct_type.__struct_fields__[int(step) - 1] if step != "0" else "kind"


def _shard_body_type(values: list[Any]) -> type[ShardBodyBase] | None:
    body = values[ShardMessage.__struct_fields__.index("body") + 1]
    tag = body[0] if isinstance(body, list) and body else None
    return SHARD_TYPE_BY_TAG.get(tag) if isinstance(tag, str) else None
