"""States that messages name by their ballot, and states that are packed on top of others."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from orchidferry.balancing.register import Accept, Accepted, AcceptorState, Prepare, Promise, Value, Voter
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.value_references import ValueReferences, refusal, unpack

TAKEN = st.lists(st.tuples(st.integers(0, 9), st.binary(max_size=2)), max_size=6).map(tuple)
BODIES = st.builds(
    shard_state.Body,
    st.integers(0, 3),
    st.integers(0, 9),
    st.sampled_from([b"", b"a", b"b"]),
    TAKEN,
    st.sampled_from(["", "a"]),
    st.integers(0, 3),
)
VOTERS = tuple(Voter(name, shard_state.GENESIS) for name in "abc")
VALUE = Value(0, VOTERS, shard_state.Body())


@given(BODIES, BODIES)
def test_a_state_packed_on_top_of_another_is_unpacked_unchanged(
    new: shard_state.Body, old: shard_state.Body
) -> None:
    value = Value(2, VOTERS, new)
    base = Value(1, VOTERS, old)
    assert shard_state_codec.unpack_value(shard_state_codec.pack_value(value, base), base) == value
    assert shard_state_codec.unpack_value(shard_state_codec.pack_value(value)) == value


def test_a_reference_to_an_unknown_state_drops_the_message() -> None:
    old, new = (Value(n, VOTERS, shard_state.Body(revision=n, compressed_text=b"%d" % n)) for n in (1, 2))
    own = AcceptorState(1, (3, "p"), (2, "x"), old)
    references = ValueReferences()
    asked = unpack(references.pack("b", Prepare((4, "p")), own), own)
    assert asked == Prepare((4, "p"), None, (2, "x"))
    same = Promise((4, "p"), VOTERS[1], (4, "p"), (2, "x"), None)
    assert references.resolve("b", same) == Promise((4, "p"), VOTERS[1], (4, "p"), (2, "x"), old)
    assert references.resolve("c", Promise((4, "p"), VOTERS[2], (4, "p"), (1, "y"), None)) is None
    small = references.pack("b", Accept((4, "p"), new), own)
    whole = references.pack("c", Accept((4, "p"), new), own)
    promised = AcceptorState(1, (4, "p"), (2, "x"), old)
    assert unpack(small, promised) == unpack(whole, AcceptorState(9)) == Accept((4, "p"), new)
    assert unpack(small, AcceptorState(1, (4, "p"), (4, "p"), new)) == Accept((4, "p"), new)  # sent again
    for other in (
        AcceptorState(9),
        AcceptorState(1, (5, "q"), (5, "q"), old),
    ):  # wiped since; it has accepted another
        assert unpack(small, other) is None
    assert refusal(small, VOTERS[1], AcceptorState(1, (5, "q"))) == Accepted((4, "p"), VOTERS[1], (5, "q"))
    assert refusal(small, VOTERS[1], AcceptorState(9)) is None
    assert [references.knows_ballot(name, (4, "p")) for name in "abc"] == [False, True, True]
