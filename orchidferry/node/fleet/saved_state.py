"""The state of a fleet member that survives a restart: its incarnation, and the peers that it knew."""

from __future__ import annotations

from typing import Any

from orchidferry.balancing.fleet.membership import SavedState
from orchidferry.node.state_store import StateFormat

MAX_PEERS = 256  # peers that are read from the state file; further ones are ignored
MAX_FILE_BYTES = 64 * 1024  # largest state file


def _to_json(state: SavedState) -> Any:
    return {"incarnation": state.incarnation, "peers": [list(peer) for peer in state.peers]}


def _from_json(obj: Any) -> SavedState:
    incarnation = obj["incarnation"]
    if type(incarnation) is not int or incarnation < 0:
        raise ValueError(f"incarnation {incarnation!r:.40} is not a number from 0 on")
    return SavedState(incarnation, tuple((str(host), int(port)) for host, port in obj["peers"][:MAX_PEERS]))


STATE_FORMAT = StateFormat(
    "fleet", "fleet's state", b"orchidferry fleet", 1, MAX_FILE_BYTES, _to_json, _from_json
)
