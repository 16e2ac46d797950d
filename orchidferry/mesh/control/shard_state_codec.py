"""Encoding of a shard's state as a list, for the wire and for the disk.

A value can be packed relative to a base value that the reader has: then for the large fields, the
configuration and the list of orders, only the difference is packed. The order of the fields is fixed by the
stored data.
"""

from __future__ import annotations

from typing import Any

from orchidferry.balancing.register import AcceptorState, Value, Voter
from orchidferry.mesh.control.order_history import CommittedOrders
from orchidferry.mesh.control.shard_state import Body, body


def pack_value(value: Value | None, base: Value | None = None) -> Any:
    """Pack a value.

    :param value: the value; None if there is none.
    :param base: a value that the reader has; None to pack the value completely.
    :returns: a list; None if there is no value.
    """
    if value is None:
        return None
    state = body(value)
    compressed_text: bytes | None = state.compressed_text
    orders: list[Any] = [list(order) for order in state.orders]
    if base is not None:
        known = body(base)
        dropped = _count_dropped(state.orders, known.orders)
        orders = [dropped, orders[len(known.orders) - dropped :]]
        compressed_text = state.compressed_text if state.compressed_text != known.compressed_text else None
    return [
        value.version,
        _pack_voters(value.voters),
        state.epoch,
        state.revision,
        compressed_text,
        orders,
        _pack_voters(value.former_voters),
        state.owner,
        state.fencing_token,
    ]


def unpack_value(packed: Any, base: Value | None = None) -> Value | None:
    """Unpack a value.

    :param packed: the packed value.
    :param base: the value relative to which it was packed; None if it was packed completely.
    """
    if packed is None:
        return None
    version, voters, epoch, revision, compressed_text, orders, former_voters, owner, fencing_token = packed
    kept_orders: CommittedOrders = ()
    if base is not None:
        known = body(base)
        dropped, orders = orders
        kept_orders = known.orders[dropped:]
        compressed_text = compressed_text if compressed_text is not None else known.compressed_text
    new_orders = ((number, digest) for number, digest in orders)
    state = Body(epoch, revision, compressed_text, (*kept_orders, *new_orders), owner, fencing_token)
    return Value(version, _unpack_voters(voters), state, _unpack_voters(former_voters))


def pack_acceptor_state(state: AcceptorState) -> Any:
    """Pack the complete acceptor state of a voter, as it is stored on disk.

    :returns: a list.
    """
    return [state.disk_id, list(state.promised), list(state.accepted), pack_value(state.value)]


def unpack_acceptor_state(packed: Any) -> AcceptorState:
    """Unpack a voter's acceptor state as stored on disk."""
    disk_id, promised, accepted, value = packed
    return AcceptorState(disk_id, tuple(promised), tuple(accepted), unpack_value(value))


def _pack_voters(voters: tuple[Voter, ...]) -> list[Any]:
    return [[voter.name, voter.disk_id] for voter in voters]


def _unpack_voters(packed: Any) -> tuple[Voter, ...]:
    return tuple(Voter(name, disk_id) for name, disk_id in packed)


def _count_dropped(orders: CommittedOrders, base: CommittedOrders) -> int:
    """Count the oldest orders of `base` that are not in `orders`, which begins with the rest of `base`."""
    return next(n for n in range(len(base) + 1) if orders[: len(base) - n] == base[n:])
