"""A shard at one of three controllers, for tests of the shard's components."""

from __future__ import annotations

import random

from orchidferry.balancing.register import AcceptorState, Value, Voter
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.wire.shard_messages import DecidedState
from orchidferry.testkit.explore.controller import SEEDS, WINDOW_S

A, B, C, D = (Voter(name, shard_state.FOUNDER_DISK_ID) for name in "abcd")


def make_shard(name: str, caught_up: bool = True, size: int = 3) -> Shard:
    """Return shard 1 at a controller that knows the group of a, b and c in epoch 3."""
    parameters = ShardParameters(1, name, shard_state.genesis(SEEDS), size, WINDOW_S, 10)
    state = AcceptorState(shard_state.FOUNDER_DISK_ID)
    shard = Shard(parameters, state, caught_up, Peers(0.0), random.Random(1))
    learn_state(shard, Value(1, (A, B, C), shard_state.Body(3)))
    return shard


def learn_state(shard: Shard, value: Value, now: float = 1.0) -> None:
    """Have a shard learn a decided state."""
    shard.receive(None, DecidedState(shard_state_codec.pack_value(value)), now)


def accept_known_state(shard: Shard) -> None:
    """Have a shard's voter accept the newest state, so that it may grant keys and learn as a voter."""
    ballot = (5, "b")
    shard.register.acceptor.state = AcceptorState(shard_state.FOUNDER_DISK_ID, ballot, ballot, shard.known)
