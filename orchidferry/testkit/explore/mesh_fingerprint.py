"""Fingerprints of the mesh's explored worlds: worlds with equal ones have equal futures.

So what decides nothing is left out of a fingerprint: the order of messages on different links, and the
process that took something last where nothing is left for it to take, or no fault is left.
"""

from __future__ import annotations

import copyreg
import functools
import hashlib
import marshal
from collections import deque
from dataclasses import fields, is_dataclass, replace
from operator import attrgetter
from types import ModuleType, NoneType
from typing import TYPE_CHECKING, Any

import msgspec

from orchidferry.balancing import proposer
from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import Value
from orchidferry.mesh.control.write_completions import ClaimSaved, KeyAnswerSaved, VoteSaved
from orchidferry.testkit.explore.controller import Controller
from orchidferry.testkit.explore.dead_messages import ballot_of_round
from orchidferry.testkit.explore.mesh_actors import KeyNode, MessageInFlight, SequentialRandom

if TYPE_CHECKING:
    from orchidferry.testkit.explore.mesh import MeshWorld

DIGEST_BYTES = 16
# Of a shard and its parts: told by other fields, set by each event, or of use in a round alone.
NOT_IN_FINGERPRINT = (
    "acceptor",
    "context",
    "listener",
    "order_requests",
    "peers",
    "reader",
    "references",
    "register",
)
_field_names: dict[type, tuple[str, ...]] = {}


def pickle_by_fields(module: ModuleType) -> None:
    """Have a module's slotted dataclasses pickled by their fields, in a third of the time.

    :param module: its classes and those that it imports
    """
    for kind in vars(module).values():
        if isinstance(kind, type) and is_dataclass(kind) and "__slots__" in vars(kind):
            names = [one.name for one in fields(kind)]
            if len(names) > 1:
                _pickle_by_fields(kind, attrgetter(*names))


def _pickle_by_fields(kind: type, values_of: Any) -> None:
    copyreg.pickle(kind, lambda one: (kind, values_of(one)))


def fingerprint_of(world: MeshWorld) -> bytes:
    """Return the fingerprint of a world: all that it holds but its story, with the times."""
    receiver, _ = world.next_items()
    same_receiver = bool(world.faults_left and receiver and receiver == world.last_receiver)
    parts: list[Any] = [
        world.now,
        world.grid_index,
        world.faults_left,
        same_receiver,
        by_link(world.messages),
        by_link(world.next_messages),
        world.writes_ready,
        sorted(world.slow_disks),
        sorted(world.partitions.items()),
        sorted(world.frozen_until.items()),
        sorted(world.down_until.items()),
        world.decided_states,
        world.owner_by_token,
        world.acknowledged_by_base,
        world.newest_acknowledged,
        world.granted_attempts,
        world.clients,
        [(name, sorted(sources)) for name, sources in sorted(world.sources_heard.items())],
        [(one.began, one.outcome) for one in world.key_requests],
    ]
    for controller in world.controllers.values():
        parts += _controller_parts(controller)
    for node in world.nodes.values():
        parts += _node_parts(node, world.number)
    return hashlib.blake2b(marshal.dumps(_canonical(parts), 2), digest_size=DIGEST_BYTES).digest()


def by_link(messages: list[MessageInFlight]) -> list[MessageInFlight]:
    """Return messages in order of their links, those of one link in the order in which they were sent."""
    return sorted(messages, key=lambda one: (one.to, one.sender, one.back))


def _controller_parts(controller: Controller) -> list[Any]:
    """Return what decides the future of a controller's process and its disk."""
    shard = controller.shard
    kept = shard.register.acceptor.state
    references = shard.register.references
    state = [references if references.ballot == ballot_of_round(shard) else None]
    for part in (shard, shard.register, shard.reader):
        state += [value for name, value in vars(part).items() if name not in NOT_IN_FINGERPRINT]
    return [
        controller.alive,
        sorted(controller.disk.items()),
        controller.writes,
        controller.beats,
        controller.peers,
        controller.rng,
        kept,
        state,
        _identities(controller),
    ]


def _identities(controller: Controller) -> list[bool]:
    """Return which of two equal objects is meant, where the shard compares them by identity."""
    shard = controller.shard
    records = shard.operation_keys.records
    kept = shard.register.acceptor.state
    same = [shard.unsaved_records[key] is records.get(key) for key in shard.unsaved_records]
    for write in controller.writes:
        match write.completion:
            case VoteSaved(state=voted):
                same.append(voted is kept)
            case ClaimSaved(record=record) | KeyAnswerSaved(record=record):
                same.append(any(record is one for one in records.values()))
    return same


def _node_parts(node: KeyNode, shard_number: int) -> list[Any]:
    """Return what decides the future of a node's claims and releases."""
    claims = node.claims
    releases = claims.releases
    pending = claims._pending.values()
    return [
        claims.groups[shard_number],
        claims._last_request,
        releases._last_number,
        releases._pending,
        *((one.request, one.holder, one.count, one.deadline_s, one.next_send_s) for one in pending),
    ]


def _without_finished_round(part: Any) -> Any:
    """Return a part of a proposer without what it does not look at any more.

    Once a round has its state, who was asked to promise and what they answered.
    """
    if type(part) is proposer._Round and part.after is not None:
        return replace(part, promises={}, asked=set())
    return part


def _canonical(value: Any) -> Any:
    """Return a value in tuples, so that equal ones look alike, however they came to be."""
    kind = type(value)
    if kind in (str, int, float, bool, bytes, NoneType):
        return value
    if kind is Value:
        return _digest(value)
    if kind in (tuple, list, deque):
        return tuple([_canonical(one) for one in value])
    if kind is dict:
        return tuple([(_canonical(key), _canonical(one)) for key, one in value.items()])
    if kind is set:
        return tuple(sorted([_canonical(one) for one in value]))
    names = _field_names.get(kind)
    if names is None:
        names = _field_names[kind] = _names_of(kind)
    if not names and kind is SequentialRandom:
        return value.count
    if not names and kind is Proposer:
        return tuple([_canonical(_without_finished_round(one)) for one in vars(value).values()])
    return (kind.__name__, *[_canonical(getattr(value, name)) for name in names]) if names else repr(value)


def _names_of(kind: Any) -> tuple[str, ...]:
    """Return the names of a dataclass's or a message's fields; none for another class."""
    if issubclass(kind, msgspec.Struct):
        names: tuple[str, ...] = kind.__struct_fields__
        return names
    return tuple(one.name for one in fields(kind)) if is_dataclass(kind) else ()


@functools.lru_cache(1 << 14)
def _digest(value: Value) -> bytes:
    return hashlib.blake2b(repr(value).encode(), digest_size=DIGEST_BYTES).digest()
