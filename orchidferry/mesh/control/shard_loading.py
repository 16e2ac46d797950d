"""Loading of a controller's shards from its store; shards that are not in the store are initialized."""

from __future__ import annotations

import random

from loguru import logger

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.operation_keys import MAX_KEYS
from orchidferry.mesh.control.order_records import orders_of
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import AGE_BUCKET_RECORD, Shard, initial_records
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.settings import Settings
from orchidferry.mesh.storage.environment import CONTROLLER_DB, KEYS_DB
from orchidferry.mesh.storage.record_format import RecordWrite, pack, unpack
from orchidferry.mesh.storage.store import Store

FOUNDERS_KEY = b"founders"  # key of the record that names the controllers of the first group
MAX_DISK_ID = 2**53  # exclusive upper bound of the disk ids of voters, which are drawn at random


def load_shards(store: Store, settings: Settings, peers: Peers, rng: random.Random) -> dict[int, Shard]:
    """Load all shards with their votes, operation keys and orders.

    A shard without a record gets a new disk id, which is written to the store: that of the founders if this
    controller is a founder at the very first start, else a random one that no voter had before.

    :param store: the controller's store.
    :param settings: the process settings.
    :param peers: state of the other controllers as observed here, shared by all shards.
    :param rng: the source of all random choices.
    :returns: the shards by number.
    """
    shards = _load_replicas(store, settings, peers, rng)
    for number, shard in shards.items():
        age_bucket = store.read(CONTROLLER_DB, f"{AGE_BUCKET_RECORD}/{number}".encode())
        if age_bucket is not None:
            shard.load_age_bucket(unpack(age_bucket))
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
            acceptor_state = shard_state_codec.unpack_acceptor_state(unpack(vote))
        else:
            genesis = is_empty and is_founder
            acceptor_state = AcceptorState(
                shard_state.FOUNDER_DISK_ID if genesis else rng.randrange(2, MAX_DISK_ID)
            )
            puts += initial_records(number, acceptor_state, caught_up)
        parameters = ShardParameters(
            number=number,
            name=settings.ip,
            genesis=shard_state.genesis(founders),
            group_size=settings.group_size,
            key_window_s=settings.bounds.key_window_s,
            max_keys=MAX_KEYS // len(shard_state.KEY_SHARDS),
        )
        shards[number] = Shard(parameters, acceptor_state, caught_up, peers, rng)
    if puts:
        store.write(puts)
        origin = "as a founder" if is_founder else "to be filled from the other controllers"
        logger.info("controller: store initialized, {}", origin)
    return shards
