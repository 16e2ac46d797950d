"""Intents of changes that remove a controller, and the objections of voters to them. Free of I/O.

On the wire an intent is a list: what is intended, and the name of the controller concerned.
"""

from __future__ import annotations

from typing import Any

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.group_changes import GroupView

REPLACE = "replace"  # a voter of the group
TAKE_OWNERSHIP = "own"  # from the owner of the shard
INTENT_FIELDS = 2


def replace_intent(name: str) -> list[str]:
    """Return the intent to replace a voter.

    :param name: of the voter.
    """
    return [REPLACE, name]


def take_ownership_intent(owner: str) -> list[str]:
    """Return the intent to take the ownership of a shard.

    :param owner: the name of the owner.
    """
    return [TAKE_OWNERSHIP, owner]


def objection(intent: Any, group: GroupView) -> str:
    """Object to the removal of a controller that is alive as far as the voter observes.

    From the group, unless it is leaving, or from ownership, if it is fit.

    :param group: the group as the voter observes it.
    :returns: the objection; "" for none.
    """
    if not isinstance(intent, list) or len(intent) != INTENT_FIELDS:
        return ""
    intended, name = intent
    peers = group.peers
    is_self = name == group.name
    alive = is_self or peers.alive(name, group.now)
    if intended == TAKE_OWNERSHIP:
        fit = peers.fit if is_self else name not in peers.unfit
        return shard_state.IS_ALIVE if alive and fit else ""
    return shard_state.IS_ALIVE if alive and not group.leaves(name) else ""
