"""Fingerprints of the mesh's explored worlds; worlds with equal fingerprints have the same futures.

State that influences no future is left out of a fingerprint: the order of messages on different links, and
the process that was the last to handle something, unless it has more to handle and faults are left. So are
the exact ages of operation keys, as explored runs end before a key expires.
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
from orchidferry.mesh.control.record_age import RELEASED
from orchidferry.mesh.control.write_completions import (
    ClaimSaved,
    KeyAnswerSaved,
    VoteSaved,
)
from orchidferry.mesh.wire.shard_messages import KeyRow
from orchidferry.testkit.explore.controller import Controller
from orchidferry.testkit.explore.dead_messages import ballot_of_round
from orchidferry.testkit.explore.mesh_actors import KeyNode, MessageInFlight, SequentialRandom

if TYPE_CHECKING:
    from orchidferry.testkit.explore.mesh import MeshWorld

DIGEST_BYTES = 16
ROWS = "rows"  # the field of messages and pages that holds rows of operation keys
# Fields of a shard and its parts: implied by other fields, set by each event, or used only within a round.
NOT_IN_FINGERPRINT = (
    "acceptor",
    "context",
    "key_writes",
    "listener",
    "order_requests",
    "peers",
    "reader",
    "references",
    "register",
)
_field_names: dict[type, tuple[str, ...]] = {}


def pickle_by_fields(module: ModuleType) -> None:
    """Register picklers for a module's slotted dataclasses that take a third of the time.

    :param module: the module; the classes that it imports are included
    """
    for kind in vars(module).values():
        if isinstance(kind, type) and is_dataclass(kind) and "__slots__" in vars(kind):
            names = [one.name for one in fields(kind)]
            if len(names) > 1:
                _pickle_by_fields(kind, attrgetter(*names))


def _pickle_by_fields(kind: type, values_of: Any) -> None:
    copyreg.pickle(kind, lambda one: (kind, values_of(one)))


def fingerprint_of(world: MeshWorld) -> bytes:
    """Return the fingerprint of a world: a digest of its state and its times, without its story."""
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
    """Return messages sorted by their links, and those on one link in the order of sending."""
    return sorted(messages, key=lambda one: (one.to, one.sender, one.is_reply))


def _controller_parts(controller: Controller) -> list[Any]:
    """Return the state of a controller's process and its disk that influences the future."""
    shard = controller.shard
    acceptor_state = shard.register.acceptor.state
    references = shard.register.references
    state = [references if references.ballot == ballot_of_round(shard) else None]
    for part in (shard, shard.register, shard.reader):
        state += [value for name, value in vars(part).items() if name not in NOT_IN_FINGERPRINT]
    return [
        controller.alive,
        sorted(controller.disk.items()),
        controller.writes,
        controller.heartbeat_sent_s,
        controller.peers,
        controller.rng,
        acceptor_state,
        state,
        sorted(shard.key_writes.unsaved),
        _identities(controller),
    ]


def _identities(controller: Controller) -> list[bool]:
    """Return the results of the identity comparisons that the shard may make between equal objects."""
    shard = controller.shard
    records = shard.operation_keys.records
    acceptor_state = shard.register.acceptor.state
    same: list[bool] = []
    for write in controller.writes:
        match write.completion:
            case VoteSaved(state=voted):
                same.append(voted is acceptor_state)
            case ClaimSaved(record=record) | KeyAnswerSaved(record=record):
                same.append(any(record is one for one in records.values()))
    return same


def _node_parts(node: KeyNode, shard_number: int) -> list[Any]:
    """Return the state of a node's claims and releases that influences the future."""
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
    """Return a part of a proposer without fields that are not read any more.

    Once a round has chosen its state, the voters that were asked for promises and the promises are not read.
    """
    if type(part) is proposer._Round and part.after is not None:
        return replace(part, promises={}, asked=set())
    return part


def _canonical(value: Any) -> Any:
    """Return a value as nested tuples that are equal for equal values, however these were built."""
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
    if not names:
        return repr(value)
    values = [_without_ages(value.rows) if name == ROWS else getattr(value, name) for name in names]
    return (kind.__name__, *map(_canonical, values))


def _without_ages(rows: list[KeyRow]) -> list[tuple[str, str, bool, object, bool]]:
    """Return rows of operation keys without the ages of records; releases stay distinct."""
    return [
        (key, holder, packed_age == RELEASED, answer, answered)
        for key, (holder, packed_age, answer), answered in rows
    ]


def _names_of(kind: Any) -> tuple[str, ...]:
    """Return the names of the fields of a dataclass that are compared, or of a message; none for others."""
    if issubclass(kind, msgspec.Struct):
        names: tuple[str, ...] = kind.__struct_fields__
        return names
    return tuple(one.name for one in fields(kind) if one.compare) if is_dataclass(kind) else ()


@functools.lru_cache(1 << 14)
def _digest(value: Value) -> bytes:
    return hashlib.blake2b(repr(value).encode(), digest_size=DIGEST_BYTES).digest()
