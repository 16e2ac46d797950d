"""Intents of changes that remove a controller, and voters' objections to them. Performs no I/O.

On the wire an intent is a list of two elements: the kind of the change, and the name of the affected
controller.
"""

from __future__ import annotations

from typing import Any

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.group_changes import GroupView

REPLACE = "replace"  # kind: replace a voter of the group
TAKE_OWNERSHIP = "own"  # kind: take ownership from the owner of the shard
INTENT_FIELDS = 2


def replace_intent(name: str) -> list[str]:
    """Return the intent to replace a voter.

    :param name: name of the voter.
    """
    return [REPLACE, name]


def take_ownership_intent(owner: str) -> list[str]:
    """Return the intent to take ownership of a shard from its owner.

    :param owner: name of the owner.
    """
    return [TAKE_OWNERSHIP, owner]


def objection(intent: Any, group: GroupView) -> str:
    """Return a voter's objection to the removal of a controller that the voter observes to be alive.

    The voter objects to the replacement of a live voter unless that is leaving, and to taking ownership from
    a live owner that is fit to own the shard.

    :param intent: the intent of the change, as received.
    :param group: the group as the voter observes it.
    :returns: the objection; "" for none.
    """
    if not isinstance(intent, list) or len(intent) != INTENT_FIELDS:
        return ""
    kind, name = intent
    peers = group.peers
    is_self = name == group.name
    alive = is_self or peers.alive(name, group.now)
    if kind == TAKE_OWNERSHIP:
        fit = peers.fit if is_self else name not in peers.unfit
        return shard_state.IS_ALIVE if alive and fit else ""
    return shard_state.IS_ALIVE if alive and not group.leaves(name) else ""
