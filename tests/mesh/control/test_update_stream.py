"""Update streams: differences, complete lists, and the positions of followers."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.control.update_stream import MAX_LOG_CHANGES, Followers, StreamChange, UpdateStream
from tests.mesh.control.fakes import decoded, record


def test_a_follower_gets_only_updates_of_the_incarnation_in_its_position() -> None:
    stream = UpdateStream("k", 7, 0)
    followers = Followers[str]()
    assert followers.add("a", [("k", 6, 0)]) and followers.add("b", [("k", 7, 0)])
    for name in "xy":
        stream.append([record(name)])
    [(change, links)] = followers.advance(stream)
    assert links == ["b"] and (change.since, change.number) == (0, 2) and not followers.advance(stream)
    followers.add("a", [("k", 7, -1)])
    [(change, links)] = followers.advance(stream)
    assert links == ["a"] and change.since == -1 and len(change.updated) == 2


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_differences_and_complete_lists_give_the_same_records(data: Any) -> None:
    """A copy that applies the changes after its position has the sender's records, however old it was."""
    stream = UpdateStream("k", 7, 0)
    copies = [UpdateStream("k", 7, 0) for _ in range(3)]
    model: dict[str, NodeRecord] = {}
    names = st.sampled_from("abcdef")
    for number in range(data.draw(st.integers(0, 20))):
        name = data.draw(names)
        removed = data.draw(st.booleans())
        times = data.draw(st.sampled_from((1, 1, 1, MAX_LOG_CHANGES)))
        for repetition in range(times):
            if removed:
                model.pop(name, None)
                stream.append(removed=[name])
            else:
                model[name] = record(name, number * MAX_LOG_CHANGES + repetition)
                stream.append([model[name]])
        copy = data.draw(st.sampled_from(copies))
        source = data.draw(st.sampled_from([stream, *copies]))
        change = source.changes_since(copy.incarnation, copy.number)
        if change is not None:
            beyond_log = source is stream and stream.number - copy.number > MAX_LOG_CHANGES
            assert change.since == (-1 if beyond_log else copy.number) or source is not stream
            assert copy.apply(decoded(change))
            assert copy.records == source.records and copy.number == source.number
        assert source.changes_since(source.incarnation, source.number) is None
    assert stream.records == model
    complete = stream.changes_since(8, 3)  # a position in another incarnation needs the complete list
    assert complete is not None and complete.since == -1
    assert not copies[0].apply(StreamChange("k", 8, -1, 5, [], [], 0))
    number = copies[0].number
    assert not copies[0].apply(StreamChange("k", 7, number + 1, number + 2, [], [], 0))  # a change is missing
