"""The shards of a controller as they are in its store; new ones where the store is empty."""

from __future__ import annotations

import random

from loguru import logger

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.operation_keys import MAX_KEYS
from orchidferry.mesh.control.order_records import orders_of
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import Shard, initial_records
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.settings import Settings
from orchidferry.mesh.storage.environment import CONTROLLER_DB, KEYS_DB
from orchidferry.mesh.storage.record_format import RecordWrite, pack, unpack
from orchidferry.mesh.storage.store import Store

FOUNDERS_KEY = b"founders"  # of the record that names the controllers of the first group
MAX_VOTER_MEMORY = 2**53  # ids of voters' memories are drawn below this


def load_shards(store: Store, settings: Settings, peers: Peers, rng: random.Random) -> dict[int, Shard]:
    """Load all shards with their votes, operation keys and orders.

    A shard without a record gets a new voter's memory, which is written to the store: that of the first group
    if this controller is a founder at the first start of all, else one that nobody ever had.

    :param peers: what the controller knows of the others; shared by its shards.
    :returns: the shards by number.
    """
    shards = _load_replicas(store, settings, peers, rng)
    for raw, packed in store.read_all(KEYS_DB):
        key = raw.decode("latin-1")
        shards[shard_state.shard_of(key)].load_key(key, unpack(packed))
    rows = store.read_all(CONTROLLER_DB)
    for number, shard in shards.items():
        shard.load_orders(orders_of(number, rows))
    return shards


def _load_replicas(store: Store, settings: Settings, peers: Peers, rng: random.Random) -> dict[int, Shard]:
    stored_founders = store.read(CONTROLLER_DB, FOUNDERS_KEY)
    is_empty = stored_founders is None
    founders = settings.seeds if stored_founders is None else tuple(unpack(stored_founders))
    is_founder = settings.first_start and settings.ip in settings.seeds
    puts: list[RecordWrite] = [(CONTROLLER_DB, FOUNDERS_KEY, pack(list(founders)))] if is_empty else []
    shards: dict[int, Shard] = {}
    for number in shard_state.SHARDS:
        vote = store.read(CONTROLLER_DB, f"kept/{number}".encode())
        caught_up = (
            is_founder if is_empty else store.read(CONTROLLER_DB, f"caught/{number}".encode()) is not None
        )
        if vote is not None:
            kept = shard_state_codec.unpack_acceptor_state(unpack(vote))
        else:
            genesis = is_empty and is_founder
            kept = AcceptorState(shard_state.GENESIS if genesis else rng.randrange(2, MAX_VOTER_MEMORY))
            puts += initial_records(number, kept, caught_up)
        parameters = ShardParameters(
            number=number,
            name=settings.ip,
            genesis=shard_state.genesis(founders),
            group_size=settings.group_size,
            key_window_s=settings.bounds.key_window_s,
            max_keys=MAX_KEYS // len(shard_state.KEY_SHARDS),
        )
        shards[number] = Shard(parameters, kept, caught_up, peers, rng)
    if puts:
        store.write(puts)
        role = "as a founder" if is_founder else "to be filled by others"
        logger.info("controller: a new memory, {}", role)
    return shards
