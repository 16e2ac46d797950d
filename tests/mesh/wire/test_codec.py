"""Decoding an encoded message returns the same message, for each type; other values are rejected."""

from __future__ import annotations

import types
from typing import Any, Union, get_args, get_origin, get_type_hints

import cbor2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidferry.mesh.control.update_stream import StreamChange
from orchidferry.mesh.wire.codec import LENGTH_BYTES, SHARD_TYPE_BY_TAG, MessageDecodeError, decode, encode
from orchidferry.mesh.wire.messages import MESSAGE_TYPES, TYPE_BY_TAG, Message

PLAIN: dict[Any, st.SearchStrategy[Any]] = {
    int: st.integers(-(2**63), 2**64 - 1),
    str: st.text(max_size=9),
    bytes: st.binary(max_size=9),
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
    type(None): st.none(),
    Any: st.none() | st.text(max_size=9) | st.lists(st.integers(0, 9) | st.binary(max_size=9), max_size=3),
}


def values_of_type(hint: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for the values of a field with this type hint."""
    if hint in PLAIN:
        return PLAIN[hint]
    if get_origin(hint) in (Union, types.UnionType):
        return st.one_of([values_of_type(arg) for arg in get_args(hint)])
    if get_origin(hint) is list:
        return st.lists(values_of_type(get_args(hint)[0]), max_size=3)
    if get_origin(hint) is tuple:
        return st.tuples(*[values_of_type(arg) for arg in get_args(hint)])
    return st.builds(hint, *[values_of_type(field_hint) for field_hint in field_types(hint)])


def field_types(message_type: type[msgspec.Struct]) -> list[Any]:
    hints = get_type_hints(message_type)
    return [hints[name] for name in message_type.__struct_fields__]


def stream_changes() -> st.SearchStrategy[StreamChange]:
    """Return a strategy for valid changes, which end after their beginning."""
    controller, incarnation, _, _, *rest = [values_of_type(hint) for hint in field_types(StreamChange)]
    parts = st.tuples(controller, incarnation, st.integers(-1, 2**53), st.integers(1, 2**53), *rest)
    return parts.map(lambda part: StreamChange(part[0], part[1], part[2], part[2] + part[3], *part[4:]))


PLAIN[StreamChange] = stream_changes()


def test_each_tag_has_one_type() -> None:
    assert list(TYPE_BY_TAG.values()) == list(MESSAGE_TYPES) and len(SHARD_TYPE_BY_TAG) == 16


@pytest.mark.parametrize("message_type", MESSAGE_TYPES)
@given(data=st.data())
def test_decoding_an_encoded_message_returns_it(message_type: type[Message], data: Any) -> None:
    message = data.draw(values_of_type(message_type))
    encoded = encode(message)
    assert int.from_bytes(encoded[:LENGTH_BYTES], "big") == len(encoded) - LENGTH_BYTES
    assert decode(encoded[LENGTH_BYTES:]) == message


@given(
    st.recursive(
        st.none()
        | st.integers()
        | st.text(max_size=9)
        | st.binary(max_size=9)
        | st.sampled_from(list(TYPE_BY_TAG)),
        lambda inner: (
            st.lists(inner, max_size=5) | st.tuples(st.sampled_from(list(TYPE_BY_TAG)), inner).map(list)
        ),
    )
)
def test_any_value_is_a_message_or_is_rejected_in_one_line(parts: Any) -> None:
    try:
        message = decode(cbor2.dumps(parts))
    except MessageDecodeError as error:
        assert "\n" not in str(error) and len(str(error)) < 400
    else:
        assert parts[0] in TYPE_BY_TAG and isinstance(message, TYPE_BY_TAG[parts[0]])
