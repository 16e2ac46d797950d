"""Transfer of keys between controllers while records change, and the order of requests to sources."""

from __future__ import annotations

import math

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control import key_transfer, operation_keys
from orchidferry.mesh.control.key_transfer import (
    MAX_PAGE_BYTES,
    Cursor,
    KeyLearner,
    KeySource,
    TransferPage,
    collect_rows,
    missing_answers,
)
from orchidferry.mesh.control.operation_keys import ClaimStatus, OperationKeys
from orchidferry.mesh.control.record_age import AGE_BUCKET_S, RELEASED

KEYS = [f"k{n}" for n in range(12)]
EVENTS = ("claim", "claim", "claim", "answer", "release", "page", "page", "page", "expire")


def copy_page(
    source: OperationKeys, sender: KeySource, to: OperationKeys, sequence: int, omit_answers: bool
) -> TransferPage:
    """Copy the page after a sequence number, with the records of omitted answers, and return it."""
    page = sender.page(source, "x", sequence, omit_answers)
    rows = list(page.rows)
    lacking = missing_answers(to, page.rows)
    while lacking:  # each batch has at most the size of a page
        batch = collect_rows(source, lacking)
        rows = rows + batch.rows
        lacking = lacking[batch.covered :]
    for key, (holder, packed_age, answer), _ in rows:
        if packed_age == RELEASED:
            to.release(key, holder)
        else:
            to.merge(key, [holder, packed_age, answer])
    return page


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.sampled_from(KEYS)), max_size=80), st.booleans())
@example([("claim", "k0"), *[("expire", "k0")] * 5], False)  # its first copy comes after its window
def test_a_copy_has_the_records_of_its_source(events: list[tuple[str, str]], omit_answers: bool) -> None:
    """Keys are claimed, answered, released and expired between pages, some of which are lost.

    A copied record is dated anew, so it outlasts the expired record of the source: expired keys are not
    compared.
    """
    source = OperationKeys(60.0)
    to = OperationKeys(60.0)
    sender = KeySource()
    sequence = 0
    now = 1.0
    expired = set[str]()
    big = b"x" * (MAX_PAGE_BYTES // 3)  # three records fill a page
    for n, (event, key) in enumerate(events):
        record = source.records.get(key)
        if event == "claim":
            source.claim(key, f"t{n}")
        elif event == "answer":
            source.record_answer(key, record.holder if record else f"t{n}", big)
        elif event == "release" and record is not None:
            source.release(key, record.holder)
        elif event == "expire":
            now += AGE_BUCKET_S
            expired |= set(source.expire(now))
        elif event == "page":
            page = copy_page(source, sender, to, sequence, omit_answers)
            sequence = page.sequence if n % 3 else sequence  # every third cursor is lost, and its page resent
    for _ in range(len(KEYS) + 2):
        page = copy_page(source, sender, to, sequence, omit_answers)
        sequence = page.sequence
    assert page.last and sequence == source.sequence
    for key, record in source.records.items():
        # A record that comes for the first time when its window is over is not taken.
        is_taken = source.clock.reading_s - record.created_s < to.max_received_age_s or key in to.records
        if key not in expired and is_taken:
            assert to.records[key].answer == record.answer
            assert to.records[key].holder in (record.holder, "")
    for key, copied in to.records.items():
        assert key in source.records or key in expired or copied.answer is not None
        assert copied.answer is not None or not source.was_released_by(key, copied.holder)


def test_a_copy_removes_a_claim_whose_release_is_not_the_last_one() -> None:
    """Only the last release of a key was remembered, so a copy kept an earlier claim until it expired."""
    source = OperationKeys(60.0)
    to = OperationKeys(60.0)
    sender = KeySource()
    source.claim("k", "first")
    sequence = copy_page(source, sender, to, 0, False).sequence
    source.release("k", "first")
    source.claim("k", "second")
    source.release("k", "second")
    copy_page(source, sender, to, sequence, False)
    assert not to.records
    # Late copies of the claims, from the node or from a controller that does not know of the releases:
    assert to.claim("k", "first").status is ClaimStatus.ALREADY_RELEASED
    to.merge("k", ["second", 0, None])
    assert not to.records
    assert to.claim("k", "third").status is ClaimStatus.GRANTED
    to.merge("k", ["first", 0, None])
    assert to.records["k"].holder == "third"


def test_releases_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operation_keys, "MAX_RELEASES", 5)
    keys = OperationKeys(60.0)
    for n in range(12):
        key = f"k{n % 3}"
        keys.claim(key, f"t{n}")
        keys.release(key, f"t{n}")
        assert sum(map(len, keys.released.values())) <= 5
        assert set(keys.changes) == set(keys.released)


def test_pages_are_bounded_and_omit_no_change() -> None:
    source = OperationKeys(60.0)
    sender = KeySource()
    for n in range(500):
        source.claim(f"key {n}", "t")
        source.record_answer(f"key {n}", "t", bytes(1_500))
    sequence = 0
    pages = 0
    keys = set[str]()
    while True:
        page = sender.page(source, "x", sequence, False)
        assert sum(map(key_transfer.approximate_size, page.rows)) < MAX_PAGE_BYTES + 2_000
        sequence = page.sequence
        pages = pages + 1
        keys |= {row[0] for row in page.rows}
        if pages == 3:
            source.claim("new", "t")  # is sent after all earlier changes
        if page.last:
            break
    assert len(keys) == 501 and pages == math.ceil(500 * 1_532 / MAX_PAGE_BYTES) + 1  # one for the new key
    source.release("new", "t")
    page = sender.page(source, "x", sequence, False)
    assert page.rows == [("new", ("t", RELEASED, None), False)] and page.last
    assert not sender.page(source, "x", page.sequence, False).rows and not sender.transfers


def test_sources_are_copied_one_at_a_time_until_one_is_complete() -> None:
    learner = KeyLearner()
    first = learner.begin_request("a", False, 0.0)
    assert not learner.may_ask("b", 0.0) and not learner.omits_answers("a", 0)
    first.page = TransferPage([], 7, False)
    first.incarnation = "life"
    learner.page_stored("a", first)
    assert learner.cursors == {"a": Cursor("life", 7)} and not learner.copied
    again = learner.begin_request("a", False, 0.0)
    again.page = TransferPage([], 9, True)
    again.incarnation = "life"
    learner.page_stored("a", again)
    assert learner.may_ask("b", 0.0) and learner.omits_answers("b", 3)
    learner.begin_request("b", True, 0.0)
    assert learner.may_ask("a", 0.0)  # later changes are requested from all sources at once
    number = learner.requests["b"].number
    assert learner.handle_refusal("b", number, 0.0) and not learner.handle_refusal("b", number, 0.0)
    assert not learner.may_ask("b", 0.1) and learner.may_ask("b", 0.2)
    learner.begin_request("b", True, 0.2)
    learner.reset_requests()
    assert learner.pending_request("b", learner.last_number) is None and learner.cursors == {
        "a": Cursor("life", 9)
    }
    learner.begin_request("b", True, 0.2)
    learner.expire_requests(0.2 + key_transfer.PAGE_TIMEOUT_S)
    assert not learner.requests
