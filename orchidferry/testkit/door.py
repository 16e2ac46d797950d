"""What a node says at its operators' door, as JSON, for the commands that ask there."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from orchidferry.node.address import Address
from orchidferry.testkit.wire import get

WAIT_S = 2.0  # for one node


async def ask(where: Address, path: str, missing: str) -> dict[str, Any]:
    """One node's word, or `error` with why there is none; `missing`: what 404 there means."""
    try:
        outcome = await asyncio.wait_for(get(where, path, WAIT_S), 2.0 * WAIT_S)
    except TimeoutError:
        return {"error": f"no answer within {WAIT_S:g} s"}
    if outcome.how != "answer":
        return {"error": f"no answer: {outcome.how}"}
    if outcome.status == 404:
        return {"error": missing}
    try:
        found = json.loads(outcome.body)
    except ValueError:
        found = None
    if outcome.status != 200 or not isinstance(found, dict):
        return {"error": f"status {outcome.status}, and not what a node says"}
    return found
