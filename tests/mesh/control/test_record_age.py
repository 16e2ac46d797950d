"""Ages of operation keys at controllers that were started at different moments."""

from __future__ import annotations

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from orchidferry.mesh.control.key_transfer import collect_rows
from orchidferry.mesh.control.operation_keys import OperationKeys, max_retention_s
from orchidferry.mesh.control.record_age import AGE_BUCKET_S, pack_age

WINDOW_S = 60.0
KEYS = ("x", "y", "z", "w")
CONTROLLERS = ("a", "b", "c")
LOST_PER_START_S = 40.0  # a restarted controller may take its records for younger by two age buckets
OLD_BUCKETS = (0, 3, 4_000)  # age buckets that a controller of an earlier build may send or have on disk


class Group:
    """Controllers with their operation keys, and a plain record of when each key was created.

    :ivar created_s: when the newest claim was made that a controller has a record of, by controller and key
    """

    def __init__(self, starts_s: tuple[float, ...]) -> None:
        self.now = max(starts_s)
        self.lost_s = 0.0
        self.created_s: dict[tuple[str, str], float] = {}
        self.saved_buckets: dict[str, int] = {}  # buckets of the age clocks that are on disk
        self.keys = {name: OperationKeys(WINDOW_S) for name in CONTROLLERS}
        for name, start_s in zip(CONTROLLERS, starts_s, strict=True):
            self.keys[name].expire(start_s)
        self.pass_s(0.0)

    def pass_s(self, seconds: float) -> None:
        """Let time pass, in ticks of at most a second."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + 1.0)
            self._tick()
        self._tick()

    def _tick(self) -> None:
        for name, keys in self.keys.items():
            keys.expire(self.now)
            bucket = keys.bucket_to_save()
            if bucket is not None:
                self.saved_buckets[name] = bucket
        self.check()

    def claim(self, name: str, key: str) -> None:
        """Have an attempt claim a key at one controller."""
        result = self.keys[name].claim(key, f"attempt at {self.now}")
        if result.is_new:
            self.created_s[name, key] = self.now

    def hand_over(self, source: str, receiver: str) -> None:
        """Send all records of one controller to another."""
        keys = self.keys[source]
        for key, (holder, age, answer), _ in collect_rows(keys, list(keys.records)).rows:
            self.keys[receiver].merge(key, [holder, age, answer])
            known_s = self.created_s.get((receiver, key), 0.0)
            self.created_s[receiver, key] = max(known_s, self.created_s[source, key])

    def restart(self, name: str) -> None:
        """Restart a controller with its disk."""
        disk = {key: record.packed() for key, record in self.keys[name].records.items()}
        self.keys[name] = OperationKeys(WINDOW_S)
        if name in self.saved_buckets:
            self.keys[name].resume_clock(self.saved_buckets[name])
        for key, packed in disk.items():
            self.keys[name].load(key, packed)
        self.keys[name].expire(self.now)
        self.lost_s += LOST_PER_START_S

    def wipe(self, name: str) -> None:
        """Restart a controller with an empty disk."""
        self.saved_buckets.pop(name, None)
        self.keys[name] = OperationKeys(WINDOW_S)
        self.keys[name].expire(self.now)
        self.created_s = {at: created_s for at, created_s in self.created_s.items() if at[0] != name}

    def check(self) -> None:
        """Check that each record is kept for its window, and not for ever."""
        for (name, key), created_s in list(self.created_s.items()):
            age_s = self.now - created_s
            is_kept = key in self.keys[name].records
            assert is_kept or age_s >= WINDOW_S, f"{name} forgot {key} after {age_s} s"
            assert not is_kept or age_s <= max_retention_s(WINDOW_S) + self.lost_s, f"{name} keeps {key}"
            if not is_kept:
                del self.created_s[name, key]


STEPS = st.tuples(
    st.sampled_from(("pass", "pass", "claim", "claim", "hand", "hand", "restart", "wipe")),
    st.sampled_from(CONTROLLERS),
    st.sampled_from(CONTROLLERS),
    st.sampled_from(KEYS),
    st.sampled_from((0.5, 6.7, 19.0, 45.0)),
)


STEP_LISTS = st.lists(STEPS, min_size=20, max_size=60)
STARTS_S = st.tuples(*[st.sampled_from((1.0, 7.5, 13.0, 900.0)) for _ in CONTROLLERS])
WALKS = settings(max_examples=300, deadline=None)


@WALKS
@given(STEP_LISTS, STARTS_S)
def test_a_record_is_kept_for_its_window_and_not_for_ever(
    steps: list[tuple[str, str, str, str, float]], starts_s: tuple[float, ...]
) -> None:
    """Keys are claimed, handed over and transferred while controllers are restarted and lose their disks."""
    walk(steps, starts_s)


@pytest.mark.parametrize("draw", [1, 5, 6, 8])
def test_draws_in_which_a_restart_kept_a_record_for_too_long(draw: int) -> None:
    seed(draw)(WALKS(given(STEP_LISTS, STARTS_S)(walk)))()


def test_a_key_with_unknown_holders_is_kept_for_the_window_of_its_newest_claim() -> None:
    """Two records without a known holder counted as one claim, so the newer date was not taken over."""
    group = Group((1.0, 1.0, 1.0))
    group.claim("a", "y")
    group.pass_s(AGE_BUCKET_S + 1.0)
    group.claim("b", "y")
    group.hand_over("a", "b")  # b can't tell which of the two holds the key
    group.pass_s(102.0)
    group.claim("a", "y")  # its first record has expired
    group.hand_over("b", "a")
    group.hand_over("a", "b")
    group.pass_s(WINDOW_S)


@pytest.mark.parametrize("answer", [None, "answer to t2"])
@pytest.mark.parametrize("received_age_s", [0.0, 59.0, 61.0])
@pytest.mark.parametrize("passed_s", [59.0, 79.0, 81.0])
def test_a_record_whose_window_is_over_gives_way_to_that_of_a_later_operation(
    passed_s: float, received_age_s: float, answer: str | None
) -> None:
    """A controller that came back with an old answer ignored the claim of a later operation with its key."""
    keys = OperationKeys(WINDOW_S)
    keys.expire(1.0)
    keys.claim("k", "t1")
    keys.record_answer("k", "t1", "answer to t1")
    keys.expire(1.0 + passed_s)
    keys.merge("k", ["t2", pack_age(received_age_s), answer])
    replaced = passed_s > WINDOW_S + AGE_BUCKET_S and received_age_s < WINDOW_S
    expected = ("t2", answer) if replaced else ("t1", "answer to t1")
    record = keys.records["k"]
    assert (record.holder, record.answer) == expected
    assert keys.clock.reading_s - record.created_s == (received_age_s if replaced else passed_s)


def walk(steps: list[tuple[str, str, str, str, float]], starts_s: tuple[float, ...]) -> None:
    group = Group(starts_s)
    for step, name, receiver, key, seconds in steps:
        match step:
            case "pass":
                group.pass_s(seconds)
            case "claim":
                group.claim(name, key)
            case "hand":
                group.hand_over(name, receiver)
            case "restart":
                group.restart(name)
            case "wipe":
                group.wipe(name)
        group.check()


@pytest.mark.parametrize("wait_s", [0.5, 19.0, 61.0, 119.0])
def test_a_restart_while_nothing_is_claimed_keeps_no_record_for_as_long_again(wait_s: float) -> None:
    """The clock went back to the newest record, so a record of 119 s was kept for 120 s more."""
    group = Group((1.0, 1.0, 1.0))
    group.claim("a", "x")
    group.pass_s(wait_s)
    group.restart("a")
    while "x" in group.keys["a"].records:
        group.pass_s(0.5)  # `check` compares the age with its bounds


def test_handoffs_between_the_marks_of_three_controllers_age_no_key() -> None:
    """Each handoff raised the age bucket of its receiver, so keys were forgotten after 30 of 60 seconds."""
    group = Group((100.0, 100.0 + AGE_BUCKET_S / 3, 100.0 + 2 * AGE_BUCKET_S / 3))
    group.pass_s(1.0)
    for name in CONTROLLERS:
        group.claim(name, "x")
    for number in range(24):  # each handoff is made by the controller whose age bucket has just risen
        source, receiver = CONTROLLERS[(number + 2) % 3], CONTROLLERS[number % 3]
        group.claim(source, f"k{number}")
        group.hand_over(source, receiver)
        group.pass_s(AGE_BUCKET_S / 3)


def test_a_handoff_of_a_controller_that_has_run_for_long_ages_no_key() -> None:
    """It carried the age bucket of its sender, and all keys of a newly started receiver expired at once."""
    group = Group((1.0, 3_600.0, 3_600.0))
    group.claim("b", "x")
    group.claim("a", "y")
    group.hand_over("a", "b")
    group.pass_s(WINDOW_S)


def test_controllers_that_hand_a_record_over_in_turn_do_not_keep_it_for_ever() -> None:
    """Each handoff dated a record anew, so a record that was handed over in turn was never forgotten."""
    group = Group((1.0, 7.6, 14.3))
    group.claim("a", "x")
    for number in range(400):
        group.hand_over(CONTROLLERS[number % 3], CONTROLLERS[(number + 1) % 3])
        group.pass_s(1.0)
    assert not any(keys.records for keys in group.keys.values())


@pytest.mark.parametrize("bucket", OLD_BUCKETS)
def test_records_of_an_earlier_build_are_kept_for_their_window(bucket: int) -> None:
    """An age bucket of an earlier build, sent or on disk, does not tell the age of any record."""
    keys = OperationKeys(WINDOW_S)
    keys.load("stored", ["t", bucket, None])
    keys.load("stored later", ["t", max(OLD_BUCKETS) + 9, "answer"])
    keys.expire(5_000.0)
    keys.claim("claimed", "t")
    keys.merge("received", ["t", bucket, None])
    assert not keys.expire(5_000.0 + WINDOW_S)
    assert len(keys.expire(5_000.0 + max_retention_s(WINDOW_S))) == 4


def test_a_record_that_is_past_its_window_is_not_taken() -> None:
    """Such a record could return to a controller that has just removed it."""
    group = Group((1.0, 1.0, 7.0))
    group.claim("a", "x")
    group.pass_s(WINDOW_S + AGE_BUCKET_S + 1.0)
    group.hand_over("a", "c")
    assert "x" in group.keys["a"].records and "x" not in group.keys["c"].records
