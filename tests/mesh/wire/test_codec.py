"""Each type of message comes out of the codec as it went in."""

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


def of_type(hint: Any) -> st.SearchStrategy[Any]:
    """Values of a field's type."""
    if hint in PLAIN:
        return PLAIN[hint]
    if get_origin(hint) in (Union, types.UnionType):
        return st.one_of([of_type(one) for one in get_args(hint)])
    if get_origin(hint) is list:
        return st.lists(of_type(get_args(hint)[0]), max_size=3)
    if get_origin(hint) is tuple:
        return st.tuples(*[of_type(one) for one in get_args(hint)])
    return st.builds(hint, *[of_type(one) for one in field_types(hint)])


def field_types(kind: type[msgspec.Struct]) -> list[Any]:
    hints = get_type_hints(kind)
    return [hints[name] for name in kind.__struct_fields__]


def change() -> st.SearchStrategy[StreamChange]:
    """A change ends after its beginning."""
    first, second, _, _, *rest = [of_type(one) for one in field_types(StreamChange)]
    made = st.tuples(first, second, st.integers(-1, 2**53), st.integers(1, 2**53), *rest)
    return made.map(lambda one: StreamChange(one[0], one[1], one[2], one[2] + one[3], *one[4:]))


PLAIN[StreamChange] = change()


def test_each_kind_has_one_type() -> None:
    assert list(TYPE_BY_TAG.values()) == list(MESSAGE_TYPES) and len(SHARD_TYPE_BY_TAG) == 16


@pytest.mark.parametrize("kind", MESSAGE_TYPES)
@given(data=st.data())
def test_a_message_comes_out_as_it_went_in(kind: type[Message], data: Any) -> None:
    message = data.draw(of_type(kind))
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
def test_whatever_comes_is_a_message_or_is_refused_in_one_line(parts: Any) -> None:
    try:
        message = decode(cbor2.dumps(parts))
    except MessageDecodeError as problem:
        assert "\n" not in str(problem) and len(str(problem)) < 400
    else:
        assert parts[0] in TYPE_BY_TAG and isinstance(message, TYPE_BY_TAG[parts[0]])
