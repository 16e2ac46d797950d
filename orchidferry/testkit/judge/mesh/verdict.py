"""The verdict on a run of the mesh."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.configuration_rules import (
    acknowledged_in_time,
    configuration_consistent,
    restarted_nodes_current,
)
from orchidferry.testkit.judge.mesh.control_call_rules import (
    isolated_controllers_refuse,
    one_content_per_revision,
    resent_changes_accepted,
)
from orchidferry.testkit.judge.mesh.request_rules import (
    answers_match_requests,
    executed_as_sent,
    executed_once,
    executed_where_routed,
    few_undue_rejections,
    refused_not_executed,
)
from orchidferry.testkit.judge.mesh.service import KindService, measure
from orchidferry.testkit.judge.mesh.service_rules import (
    processes_stay_up,
    retries_within_budget,
    service_recovers,
)
from orchidferry.testkit.judge.mesh.shutdown_rules import (
    drained_servers_get_nothing,
    nothing_is_cut,
    planned_work_loses_nothing,
)
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.mesh.facts import Record

MAX_STALL_S = 0.25
"""Longest stall of the test kit in a valid run, in seconds; with a longer one the run is void."""

MAX_STARVED = 0.25
"""Largest fraction of two seconds that a process may wait for a CPU core; beyond it the run is void."""

RULES: dict[str, Callable[[MeshTrace], Finding]] = {
    "mixed": answers_match_requests,
    "unasked": executed_as_sent,
    "twice": executed_once,
    "refused": refused_not_executed,
    "denied": few_undue_rejections,
    "route": executed_where_routed,
    "drain": drained_servers_get_nothing,
    "lost": planned_work_loses_nothing,
    "cut": nothing_is_cut,
    "config": configuration_consistent,
    "fresh": restarted_nodes_current,
    "acks": acknowledged_in_time,
    "resent": resent_changes_accepted,
    "one_answer": one_content_per_revision,
    "isolated": isolated_controllers_refuse,
    "budget": retries_within_budget,
    "recover": service_recovers,
    "stays_up": processes_stay_up,
}
"""All rules, by their keys in `--json`."""


@dataclass(slots=True)
class Verdict:
    """The result of judging a run."""

    record: Record
    trace: MeshTrace
    rules: dict[str, Finding]  # by the rule's key in `--json`
    classes: dict[str, KindService]  # by kind of request

    @property
    def service(self) -> float | None:
        """The fraction of the total value that was earned; None if the total is 0."""
        value = sum(row.value for row in self.classes.values())
        return sum(row.earned for row in self.classes.values()) / value if value else None

    @property
    def broken_rules(self) -> list[str]:
        """The keys of the rules that were violated."""
        return [name for name, finding in self.rules.items() if not finding.passed]

    @property
    def void(self) -> str:
        """Why the run is void, so that it gives no result about the mesh; empty if it is valid."""
        stall = self.record.stall_s
        starved = self.record.starved
        if stall > MAX_STALL_S:
            return f"the kit itself stood still for {stall * 1000:.0f} ms"
        return f"a process waited for a core for {starved:.0%} of 2 s" if starved > MAX_STARVED else ""

    @property
    def served(self) -> int:
        """Number of client requests that were served."""
        return sum(row.served for row in self.classes.values())

    @property
    def passed(self) -> bool:
        """Whether the run is complete and not void, served at least one request, and violated no rule."""
        return self.record.complete and not self.broken_rules and not self.void and self.served > 0


def judge(record: Record) -> Verdict:
    """Judge a record."""
    trace = MeshTrace(record)
    return Verdict(record, trace, {name: rule(trace) for name, rule in RULES.items()}, measure(trace))
