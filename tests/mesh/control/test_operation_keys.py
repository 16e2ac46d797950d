"""A controller's operation keys, compared with a simple model."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.operation_keys import (
    UNKNOWN_HOLDER,
    ClaimResult,
    ClaimStatus,
    KeyRecord,
    OperationKeys,
    max_retention_s,
)
from orchidferry.mesh.control.record_age import AGE_BUCKET_S, FIRST_BUCKET
from orchidferry.mesh.wire.messages import KeyClaim
from tests.mesh.control.shards import accept_known_state, make_shard

WINDOW_S = 60.0
STEPS = st.tuples(
    st.sampled_from(("claim", "claim", "answer", "release", "expire", "expire", "expire", "restart")),
    st.sampled_from("xy"),
    st.sampled_from(("t1", "t2", "t3")),
    st.sampled_from((1.0, 10.0, 19.0)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(STEPS, min_size=15, max_size=80))
def test_keys_behave_like_a_simple_model(steps: list[tuple[str, str, str, float]]) -> None:
    keys = OperationKeys(WINDOW_S)
    now = 1_000.0
    keys.expire(now)
    model: dict[str, tuple[str, str | None, float]] = {}  # holder, answer, time of the record's creation
    released: set[tuple[str, str]] = set()  # key and holder of each release since the last restart
    for step, key, holder, passed_s in steps:
        existing = model.get(key)
        if step == "claim":
            result = keys.claim(key, holder)
            if existing is None and (key, holder) in released:  # a late claim
                assert result == ClaimResult(ClaimStatus.ALREADY_RELEASED)
                continue
            if existing is None:
                model[key] = (holder, None, now)
            granted = existing is None or existing[0] == holder
            assert result.status is (ClaimStatus.GRANTED if granted else ClaimStatus.HELD_BY_OTHER)
            assert result.record is not None
            assert (result.record.holder, result.record.answer) == model[key][:2]
            assert result.is_new is (existing is None)
        elif step == "answer":
            record = keys.record_answer(key, holder, f"by {holder}")
            new = existing is None or (existing[0] == holder and existing[1] is None)
            assert (record is not None) is new
            if new:
                model[key] = (holder, f"by {holder}", now if existing is None else existing[2])
        elif step == "release":
            removed = existing is not None and existing[:2] == (holder, None)
            assert keys.release(key, holder) is removed
            if removed:
                del model[key]
            if removed or existing is None:
                released.add((key, holder))
        elif step == "expire":
            now += passed_s
            for expired in keys.expire(now):
                assert now - model.pop(expired)[2] >= WINDOW_S
        else:
            disk = {key: record.packed() for key, record in keys.records.items()}
            keys = OperationKeys(WINDOW_S)
            for stored, packed in disk.items():
                keys.load(stored, packed)
            keys.expire(now)
            released.clear()
        assert {k: (record.holder, record.answer) for k, record in keys.records.items()} == {
            k: entry[:2] for k, entry in model.items()
        }


def test_a_key_is_not_kept_long_beyond_its_window() -> None:
    keys = OperationKeys(WINDOW_S)
    keys.expire(1_000.0)
    keys.claim("k", "t")
    assert keys.expire(1_000.0 + WINDOW_S + 4 * AGE_BUCKET_S) == ["k"] and not keys.records


def test_a_key_that_two_attempts_were_granted_has_no_known_holder() -> None:
    """A controller that learns of two holders can't tell which one ran, so it grants the key to neither."""
    keys = OperationKeys(WINDOW_S)
    for holder in ("t1", "t2"):
        keys.merge("k", [holder, 0, None])
    for holder in ("t1", "t2", "t3"):
        record = KeyRecord(UNKNOWN_HOLDER, FIRST_BUCKET)
        assert keys.claim("k", holder) == ClaimResult(ClaimStatus.HELD_BY_OTHER, record)
    assert not keys.release("k", "t1")
    answered = keys.record_answer("k", "t2", "its answer")  # an attempt with an answer has run
    assert answered == KeyRecord("t2", FIRST_BUCKET, "its answer")
    assert keys.claim("k", "t1") == ClaimResult(ClaimStatus.HELD_BY_OTHER, answered)


def test_no_key_is_granted_beyond_the_maximum() -> None:
    keys = OperationKeys(WINDOW_S, max_keys=1)
    assert keys.claim("k1", "t").status is ClaimStatus.GRANTED
    assert keys.claim("k2", "t") == ClaimResult(ClaimStatus.TABLE_FULL)
    assert keys.claim("k1", "t").status is ClaimStatus.GRANTED


@pytest.mark.parametrize("pause_s", [0.0, 20.0, 56.0, 500.0])
def test_a_claim_that_comes_after_a_pause_is_kept_for_its_window(pause_s: float) -> None:
    """A claim is dated by the time of its arrival.

    After a pause of its process a controller may handle messages before its next tick. Claims were dated by
    the last tick, so they expired too early.
    """
    shard = make_shard("a")
    accept_known_state(shard)
    shard.tick(1_000.0)
    granted_s = 1_000.0 + pause_s
    shard.claim_key(None, KeyClaim(1, epoch(shard.known), "k", "first"), True, granted_s)
    for passed_s in (0.1, 0.5 * WINDOW_S, WINDOW_S):
        shard.tick(granted_s + passed_s)
        assert shard.operation_keys.records["k"].holder == "first"
    shard.tick(granted_s + max_retention_s(WINDOW_S))
    assert not shard.operation_keys.records
