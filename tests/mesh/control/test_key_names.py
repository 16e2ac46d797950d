"""Names of operation keys: one for each operation key, and each can be the key of a record on disk."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidferry.mesh.control.actions import Action, SendReply, WriteRecords
from orchidferry.mesh.control.key_names import MAX_NAME_BYTES, is_storable, key_name
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.control.record_age import RELEASED, pack_age
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.storage.environment import open_environment
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyGrant, KeyRelease, KeyReleaseAck
from orchidferry.mesh.wire.shard_messages import Handoff
from tests.mesh.control.shards import accept_known_state, make_shard

LENGTHS = st.one_of(st.integers(1, 40), st.integers(500, 520), st.integers(16_000, 16_400))
HEADER_VALUES = st.builds(
    lambda length, last: b"k" * (length - 1) + bytes([last]), LENGTHS, st.integers(0x21, 0xFF)
)
UNSTORABLE = ["", "k" * 512, "k" * 16_000, "\u20ac"]


@given(HEADER_VALUES, HEADER_VALUES)
def test_each_operation_key_has_a_storable_name_of_its_own(first: bytes, second: bytes) -> None:
    assert is_storable(key_name(first))
    assert (key_name(first) == key_name(second)) is (first == second)


def test_names_of_digests_are_not_names_of_other_operation_keys() -> None:
    name = key_name(b"k" * 512)
    assert name[0] == "\0" and key_name(name[1:].encode("latin-1")) != name


@given(st.binary(min_size=1, max_size=MAX_NAME_BYTES))
def test_operation_keys_that_earlier_builds_could_store_keep_their_names(operation_key: bytes) -> None:
    """During an update both builds claim the same name, and stored records are found again."""
    assert key_name(operation_key) == operation_key.decode("latin-1")


def test_the_maximum_length_is_that_of_the_store(tmp_path: Path) -> None:
    env = open_environment(str(tmp_path))
    assert env.max_key_size() == MAX_NAME_BYTES
    env.close()


def replies(actions: list[Action]) -> list[object]:
    """Return the messages that actions send as replies."""
    return [action.message for action in actions if isinstance(action, SendReply)]


@pytest.fixture
def shard() -> Shard:
    shard = make_shard("a")
    accept_known_state(shard)
    return shard


@pytest.mark.parametrize("name", UNSTORABLE)
def test_names_that_cannot_be_stored_are_answered_at_once_and_kept_nowhere(shard: Shard, name: str) -> None:
    """Proxies of earlier builds send such names; each write of one failed with all other writes beside it."""
    known_epoch = epoch(shard.known)
    claimed = shard.claim_key("node", KeyClaim(1, known_epoch, name, "t1"), True, 2.0)
    assert replies(claimed) == [KeyGrant(1, known_epoch, ClaimOutcome.RETRY, None)]
    answered = shard.record_answer(KeyAnswer(name, "t1", "answer"), 2.0)
    released = shard.release_key("node", KeyRelease(3, name, "t1"), 2.0)
    assert replies(released) == [KeyReleaseAck(3)]
    assert not any(isinstance(action, WriteRecords) for action in [*claimed, *answered, *released])
    assert not shard.operation_keys.records and not shard.operation_keys.released


@pytest.mark.parametrize("name", UNSTORABLE)
def test_a_page_with_a_name_that_cannot_be_stored_is_stored_without_it(shard: Shard, name: str) -> None:
    """The page was refused as a whole, so the learner never caught up."""
    age = pack_age(2.0)
    rows = [
        ("k1", ("t1", age, None), False),
        (name, ("t1", age, None), False),
        (name, ("t2", RELEASED, None), False),
        ("k2", ("t1", age, "answer"), True),
    ]
    [write] = shard.receive("link", Handoff("b", epoch(shard.known), 1, rows), 2.0)
    assert isinstance(write, WriteRecords)
    assert [key for _, key, _ in write.puts] == [b"k1", b"k2"]
