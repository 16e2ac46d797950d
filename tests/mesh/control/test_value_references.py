"""States to which messages refer by their ballots, and states that are packed relative to others."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from orchidferry.balancing.register import Accept, Accepted, AcceptorState, Prepare, Promise, Value, Voter
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.value_references import ValueReferences, refusal, unpack

ORDERS = st.lists(st.tuples(st.integers(0, 9), st.binary(max_size=2)), max_size=6).map(tuple)
BODIES = st.builds(
    shard_state.Body,
    st.integers(0, 3),
    st.integers(0, 9),
    st.sampled_from([b"", b"a", b"b"]),
    ORDERS,
    st.sampled_from(["", "a"]),
    st.integers(0, 3),
)
VOTERS = tuple(Voter(name, shard_state.FOUNDER_DISK_ID) for name in "abc")
VALUE = Value(0, VOTERS, shard_state.Body())


@given(BODIES, BODIES)
def test_a_state_packed_relative_to_another_is_unpacked_unchanged(
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
    prepare = unpack(references.pack("b", Prepare((4, "p")), own), own)
    assert prepare == Prepare((4, "p"), None, (2, "x"))
    same = Promise((4, "p"), VOTERS[1], (4, "p"), (2, "x"), None)
    assert references.resolve("b", same) == Promise((4, "p"), VOTERS[1], (4, "p"), (2, "x"), old)
    assert references.resolve("c", Promise((4, "p"), VOTERS[2], (4, "p"), (1, "y"), None)) is None
    difference = references.pack("b", Accept((4, "p"), new), own)
    complete = references.pack("c", Accept((4, "p"), new), own)
    promised = AcceptorState(1, (4, "p"), (2, "x"), old)
    assert unpack(difference, promised) == unpack(complete, AcceptorState(9)) == Accept((4, "p"), new)
    assert unpack(difference, AcceptorState(1, (4, "p"), (4, "p"), new)) == Accept((4, "p"), new)  # resent
    for other in (
        AcceptorState(9),  # the disk was lost since
        AcceptorState(1, (5, "q"), (5, "q"), old),  # it has accepted another ballot since
    ):
        assert unpack(difference, other) is None
    assert refusal(difference, VOTERS[1], AcceptorState(1, (5, "q"))) == Accepted(
        (4, "p"), VOTERS[1], (5, "q")
    )
    assert refusal(difference, VOTERS[1], AcceptorState(9)) is None
    assert [references.knows_ballot(name, (4, "p")) for name in "abc"] == [False, True, True]
