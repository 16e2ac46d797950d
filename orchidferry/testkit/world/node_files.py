"""The files with which a node is started: its settings, and one file for each optional feature."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from orchidferry.testkit import seeded_random
from orchidferry.testkit.scenario import Class, Scenario
from orchidferry.testkit.traffic.guard import PROOF_CLASS
from orchidferry.testkit.wire import Address
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.plan import zone_of

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import CertificateFiles

NEW_POOL_KIND = "standin-new"  # machine type of the servers in the new pool, to which traffic is moved
MOVE_FRACTIONS = (0.1, 0.25, 0.5, 1.0)  # fractions of traffic in the steps of a move after its first step


def class_settings(cls: Class) -> dict[str, Any]:
    """Return a request class in the format of the node's settings."""
    return {
        "name": cls.name,
        "objective_ms": cls.wanted_s * 1000.0,
        "give_up_ms": cls.gives_up_s * 1000.0,
        "importance": cls.worth,
        "late_worth": cls.late_worth,
        "semantics": {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}[cls.repeat],
        "dedup_scope": cls.group,
        "window_ms": cls.window_s * 1000.0,
        "stream": False,
    }


def settings(scenario: Scenario, tier: int, siblings: int, number: int) -> dict[str, Any]:
    """Return a node's start-up settings, which do not reveal the seed, the faults or the servers' speeds.

    :param tier: index of the tier with the servers that the node uses
    :param siblings: number of nodes that use the same tier, this node included
    :param number: the node's index among its siblings
    """
    rules = scenario.rules
    used_tier = scenario.tiers[tier]
    classes = scenario.classes
    if tier and not scenario.chain.knows:
        classes = tuple(replace(cls, worth=1.0) for cls in classes)
    proof_classes = [Class(PROOF_CLASS, 0.0, 0.001, 1.0, 2.0, "safe", worth=0.0)] if scenario.traffic else []
    return {
        "classes": [class_settings(cls) for cls in (*classes, *proof_classes)],
        "clients": {"marks_retry": True},
        "dcs": [used_tier.zone],
        "locality": used_tier.zone,
        "host_types": ["standin-1c", NEW_POOL_KIND],
        "family": "chain",
        "family_info": {"passes_deadline": scenario.node.passes_deadline},
        "membership_mode": "on_request",
        "quantum_ms": 5.0,
        "siblings": siblings,
        "my_number": number,
        "over_share_worth": 1.0,
        "tenants": [],
        "permissions": {
            "connect_timeout_ms": 120.0,
            "keepalive_ms": 30_000.0,
            "max_attempts": scenario.node.attempts,
            "may_cancel": True,
            "parallel_tries": False,
            "peers": False,
            "probes": False,
            "retry_after": scenario.node.retry_after,
            "max_retry_after_ms": 2_000.0,
        },
        "prices": {},
        "score_parts": {"whole": 0.45, "worst_class": 0.2, "worst_window": 0.35},
        "rules": {
            "answer_slack_ms": rules.answer_slack_s * 1000.0,
            "ask_every_ms": 10_000.0,
            "overload_factor": rules.overload_factor,
            "overload_for_ms": rules.overload_for_s * 1000.0,
            "ramp_time_ms": used_tier.cold_for_s * 1000.0,
            "start_capacity": used_tier.cold_from,
            "stop_sending_within_ms": rules.drain_grace_s * 1000.0,
        },
        "stages": [t.name for t in scenario.tiers],
        "tier": tier,
        "stats": {"fields": [], "how": "silent"},
        "weight_kind": "silent",
        "worth_by": "request",
    }


def http3_text(listen: str, files: CertificateFiles) -> str:
    """Return the text of the file that enables HTTP/3 for clients and servers."""
    from orchidferry.testkit.quic.certs import SERVER_NAME

    return (
        f'[front]\nlisten = "{listen}"\ncertificate = "{files.certificate}"\nkey = "{files.key}"\n'
        f'[servers]\nca = "{files.ca}"\nname = "{SERVER_NAME}"\n'
    )


def chain_text(scenario: Scenario, name: str, tier: int, siblings: int) -> str:
    """Return the text of the file that makes a node part of a chain of tiers; all nodes have the same key."""
    chain = scenario.chain
    key = "".join(f"{seeded_random.integer(scenario.seed, 'chain', n):016x}" for n in range(2))
    return (
        f'tier = "{scenario.tiers[tier].name}"\nnode = "{name.replace("/", ".")}"\n'
        f"first = {str(tier == 0).lower()}\nextra = {chain.extra}\nshare = {chain.share}\n"
        f"shed = {str(chain.shed).lower()}\n"
        f'floor_per_s = {chain.floor}\nnodes = {siblings}\nkeys = ["k1={key}"]\n'
    )


def fleet_text(scenario: Scenario, block: Block, name: str, number: int, nodes: int) -> str:
    """Return the text of a node's fleet file: the node listens at its own address and advertises the hub's.

    :param number: the node's index among the nodes of the fleet
    :param nodes: number of nodes in the fleet
    """

    def text(address: Address) -> str:
        return f"{address[0]}:{address[1]}"

    seeds = [text(block.fleet_hub(n)) for n in range(nodes) if n != number]
    return (
        f'name = "{name}"\nlisten = "{text(block.fleet_node(number))}"\n'
        f'advertise = "{text(block.fleet_hub(number))}"\n'
        f'zone = "{zone_of(scenario, number)}"\nseeds = {json.dumps(seeds)}\nkeys = "fleet.keys"\n'
        f'state = "fleet-state"\njournal = "fleet.journal"\n'
        f"probe_ms = {scenario.fleet.probe_s * 1000.0}\n"
    )


def control_text(control: Address, name: str, pool: str) -> str:
    """Return the text of the file that makes a node take its configuration from a control service.

    :param control: the address of the control service
    :param pool: name of the tier with the servers that the node uses
    """
    return (
        f'service = "{control[0]}:{control[1]}"\nnode = "{name}"\n'
        f'pools = ["{pool}"]\nsettings = "{name}"\n'
        'state = "state"\n'  # path relative to this file; kept over restarts of the node
    )


def fleet_keys_text(scenario: Scenario) -> str:
    """Return the text of the file with the key that all nodes of a fleet share."""
    return f"k1={seeded_random.integer(scenario.seed, 'fleet'):032x}\n"


def pools_text(scenario: Scenario) -> str:
    """Return the text of the file that makes a node move its traffic from the old pool to the new one."""
    pools = scenario.pools
    steps = [pools.first, *(step for step in MOVE_FRACTIONS if step > pools.first)]
    return (
        f'[[pool]]\nname = "old"\n[[pool]]\nname = "new"\nkinds = ["{NEW_POOL_KIND}"]\n'
        '[move]\nto = "new"\n'
        f"steps = {steps}\n"
        f'step_ms = {pools.step_s * 1_000.0}\nrare = "{pools.rare}"\n'
    )
