"""Claims of operation keys by nodes, where the replies of controllers may be lost."""

from __future__ import annotations

from collections.abc import Callable

from orchidferry.mesh.control.operation_key_client import OperationKeyClient
from orchidferry.mesh.control.operation_keys import ClaimOutcome, ClaimStatus, OperationKeys
from orchidferry.mesh.control.shard_state import shard_of
from orchidferry.mesh.wire.codec import to_list
from orchidferry.mesh.wire.messages import KeyClaim, KeyGrant, KeyRelease, Message

CONTROLLERS = ("c1", "c2", "c3")
GRANTED = ClaimOutcome.GRANTED
HELD_BY_OTHER = ClaimOutcome.HELD_BY_OTHER


def test_a_claim_whose_replies_are_lost_blocks_other_claims_until_it_is_released() -> None:
    """A majority grants the key to node a, which gets no reply; node b claims it meanwhile and afterwards."""
    keys = {name: OperationKeys(60.0) for name in CONTROLLERS}
    outcomes: dict[str, list[str]] = {"a": [], "b": []}
    nodes: dict[str, OperationKeyClient] = {}
    deaf = {"a"}  # nodes that receive no replies, and whose releases are lost

    def sender(node: str) -> Callable[..., None]:
        def send(name: str, message: Message) -> None:
            if isinstance(message, KeyClaim):
                status = keys[name].claim(message.key, message.attempt_id).status
                outcome = GRANTED if status is ClaimStatus.GRANTED else HELD_BY_OTHER
                if node not in deaf:
                    grant = KeyGrant(message.request, message.epoch, outcome, None)
                    nodes[node].handle_grant(name, grant)
            elif isinstance(message, KeyRelease) and node not in deaf:
                keys[name].release(message.key, message.attempt_id)

        return send

    for node in outcomes:
        nodes[node] = OperationKeyClient(CONTROLLERS, sender(node), 60.0)
    nodes["a"].claim("k", "ta", 1.0, lambda outcome, _: outcomes["a"].append(outcome), 0.0)
    nodes["b"].claim("k", "tb", 1.0, lambda outcome, _: outcomes["b"].append(outcome), 0.1)
    assert outcomes == {"a": [], "b": [HELD_BY_OTHER]}
    nodes["a"].tick(1.1)  # the claim ends, and its release is lost as well
    assert outcomes["a"] == [ClaimOutcome.UNDECIDED]
    nodes["b"].claim("k", "tb2", 1.0, lambda outcome, _: outcomes["b"].append(outcome), 1.2)
    assert outcomes["b"] == [HELD_BY_OTHER, HELD_BY_OTHER]
    deaf.clear()
    nodes["a"].release("k", "ta")
    nodes["b"].claim("k", "tb3", 1.0, lambda outcome, _: outcomes["b"].append(outcome), 1.3)
    assert outcomes["b"][-1] == GRANTED and shard_of("k") in nodes["b"].groups


def test_outcomes_have_fixed_values_on_the_wire() -> None:
    values = [to_list(KeyGrant(1, 0, outcome, None))[3] for outcome in ClaimOutcome]
    assert values == ["yours", "held", "wait", "none"] and {type(value) for value in values} == {str}
