"""The part that holds the configuration and its group of keepers: what may become of it, and how it travels.

Its state is the body of a `register.Value` (a register that a majority agrees on, no log): the epoch of the
group, which rises with every change of its voters, and the newest configuration. Everything here is pure.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from nickelbridge.register import (
    NONE,
    Accept,
    Accepted,
    Kept,
    Message,
    Prepare,
    Promise,
    Value,
    Voter,
    majority,
)  # fmt: skip

TAKEN_MOST = 64  # configurations whose numbers and digests are remembered
GENESIS = 1  # memory of a founder at the very first start

OTHER_VERSION, OLD_VERSION, ALIVE, NO_PLACE = "other version", "old version", "it is alive", "no place"


@dataclass(frozen=True, slots=True)
class Body:
    """The state of the part."""

    epoch: int = 0
    revision: int = 0
    raw: bytes = b""
    taken: tuple[tuple[int, bytes], ...] = ()  # number and digest of each that was taken, the newest last


Change = Callable[[Value], "Value | str"]


def genesis(seeds: tuple[str, ...]) -> Value:
    """The state that all begin with at the very first start."""
    return Value(0, tuple(Voter(name, GENESIS) for name in sorted(seeds)), Body())


def body(value: Value) -> Body:
    """The state in a value."""
    found = value.body
    assert isinstance(found, Body)
    return found


def put(raw: bytes, revision: int, digest: bytes, on: int) -> Change:
    """Take a configuration on top of version `on`; done already where that very one was taken."""

    def change(before: Value) -> Value | str:
        old = body(before)
        if (revision, digest) in old.taken:
            return before
        if old.revision != on:
            return OTHER_VERSION
        if revision <= old.revision:
            return OLD_VERSION
        taken = (*old.taken, (revision, digest))[-TAKEN_MOST:]
        return Value(before.version + 1, before.voters, Body(old.epoch, revision, raw, taken))

    return change


def read(before: Value) -> Value | str:
    """Change nothing: the round itself makes sure that what is told is the newest."""
    return before


def admit(joiner: Voter, instead_of: str, most: int) -> Change:
    """Take a keeper into the group, in the place of another name, or of an older memory of its own."""

    def change(before: Value) -> Value | str:
        if joiner in before.voters:
            return before
        gone = joiner.name if any(v.name == joiner.name for v in before.voters) else instead_of
        kept = tuple(v for v in before.voters if v.name != gone)
        if len(kept) == len(before.voters) and len(kept) >= most:
            return NO_PLACE
        old = body(before)
        after = Body(old.epoch + 1, old.revision, old.raw, old.taken)
        return Value(before.version + 1, (*kept, joiner), after)

    return change


@dataclass(frozen=True, slots=True)
class Seen:
    """What one voter has accepted last, on its disk. `value`: None where the asker has that one itself."""

    voter: Voter
    accepted: tuple[int, str]
    value: Value | None


def stands(
    seen: list[Seen], own: Value | None, own_ballot: tuple[int, str], first: Value | None
) -> Value | None:
    """The state that was decided, if what a majority has accepted shows it; None if a round has to be run.

    A majority that accepted one ballot has decided it; anything decided later would have been accepted by one
    of them. Nothing is written for this, and nobody's round is disturbed. `first`: the state that stands if
    nobody has accepted any, where that is known.
    """
    for ballot in {s.accepted for s in seen}:
        alike = [s for s in seen if s.accepted == ballot]
        if ballot == NONE:
            value = first
        elif ballot == own_ballot:
            value = own
        else:
            value = next((s.value for s in alike if s.value is not None), None)
        if value is None:
            continue
        voters = [s.voter for s in alike]
        if majority(value.voters, voters) and (not value.former or majority(value.former, voters)):
            return value
    return None


def sources_needed(voters: int) -> int:
    """How many keepers that remember a newcomer must hear, so that no majority of old is missed.

    >>> sources_needed(3), sources_needed(5)
    (2, 3)
    """
    return voters - voters // 2


# Over the wire and on disk


def pack_value(value: Value | None) -> Any:
    """A value as a list."""
    if value is None:
        return None
    b = body(value)
    return [
        value.version, [[v.name, v.memory] for v in value.voters], b.epoch, b.revision, b.raw,
        [list(t) for t in b.taken], [[v.name, v.memory] for v in value.former],
    ]  # fmt: skip


def unpack_value(packed: Any) -> Value | None:
    """The value in a list."""
    if packed is None:
        return None
    version, voters, epoch, revision, raw, taken, former = packed
    return Value(
        version, tuple(Voter(name, memory) for name, memory in voters),
        Body(epoch, revision, raw, tuple((number, digest) for number, digest in taken)),
        tuple(Voter(name, memory) for name, memory in former),
    )  # fmt: skip


def pack_kept(kept: Kept) -> Any:
    """All that a voter must not forget, as a list."""
    return [kept.memory, list(kept.promised), list(kept.accepted), pack_value(kept.value)]


def unpack_kept(packed: Any) -> Kept:
    """What a voter has not forgotten."""
    memory, promised, accepted, value = packed
    return Kept(memory, tuple(promised), tuple(accepted), unpack_value(value))


def pack_message(message: Message) -> list[Any]:
    """A message between voters as a list."""
    match message:
        case Prepare():
            return ["p", list(message.ballot), message.intent]
        case Promise():
            return [
                "P", list(message.ballot), [message.voter.name, message.voter.memory], list(message.promised),
                list(message.accepted), pack_value(message.value), message.objection,
            ]  # fmt: skip
        case Accept():
            return ["a", list(message.ballot), pack_value(message.value)]
        case Accepted():
            return [
                "A", list(message.ballot), [message.voter.name, message.voter.memory], list(message.promised),
            ]  # fmt: skip


def unpack_message(packed: list[Any]) -> Message:
    """The message in a list; `ValueError` for one that is none."""
    match packed:
        case ["p", [counter, who], intent]:
            return Prepare((counter, who), intent)
        case ["P", [counter, who], [name, memory], promised, accepted, value, objection]:
            return Promise(
                (counter, who), Voter(name, memory), tuple(promised), tuple(accepted) or NONE,
                unpack_value(value), objection,
            )  # fmt: skip
        case ["a", [counter, who], value]:
            found = unpack_value(value)
            if found is not None:
                return Accept((counter, who), found)
        case ["A", [counter, who], [name, memory], promised]:
            return Accepted((counter, who), Voter(name, memory), tuple(promised))
    raise ValueError("no message between voters")
