"""Requests to a node's admin address, for the commands that show its state."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from orchidferry.node.address import Address
from orchidferry.testkit.wire import get

TIMEOUT_S = 2.0  # for the response


async def fetch_state(address: Address, path: str, not_found: str) -> dict[str, Any]:
    """Fetch one part of a node's state.

    :param address: the node's admin address
    :param path: the path of the request
    :param not_found: error text for status 404
    :returns: the JSON object of the response, or one with the key `error` and the reason
    """
    try:
        outcome = await asyncio.wait_for(get(address, path, TIMEOUT_S), 2.0 * TIMEOUT_S)
    except TimeoutError:
        return {"error": f"no answer within {TIMEOUT_S:g} s"}
    if outcome.how != "answer":
        return {"error": f"no answer: {outcome.how}"}
    if outcome.status == 404:
        return {"error": not_found}
    try:
        found = json.loads(outcome.body)
    except ValueError:
        found = None
    if outcome.status != 200 or not isinstance(found, dict):
        return {"error": f"status {outcome.status}, expected 200 with a JSON object"}
    return found
