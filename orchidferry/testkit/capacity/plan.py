"""The parts and sizes of one run of `orchidferry capacity`, validated before any measurement starts."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.errors import OrchidferryError

PARTS = ("processes", "fleets", "hours", "calls", "claims")
TARGET_NODES = 740
TARGET_SERVICES = 150
TARGET_CALLS = 64  # calls per second at one node: 47,000 over 740 nodes
TARGET_CLAIMS = 9_400  # claims per second in the fleet: one call in five, as in the sites' own traffic
MAX_SERVICES = 1_000
CONTROLLERS = 5  # machines of a fleet in virtual time that are reserved for controllers
RECORD_BYTES = 300  # assumed upper bound on one node's copy of one record with its dictionary entry
MAX_MEMORY = 16e9
SECONDS_RANGE = (0.2, 30.0)
MAX_CALLS = 2_000


class PlanError(OrchidferryError, ValueError):
    """The requested run cannot be measured; the text gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Sizes and parts of one run.

    :ivar nodes: fleet sizes, ascending
    :ivar services: numbers of services to measure at `main_size`, ascending
    :ivar calls: rates of calls per second at one node, ascending
    :ivar parts: parts of the run, some of `PARTS`
    :ivar seconds: duration of each round of a measurement
    """

    nodes: tuple[int, ...]
    services: tuple[int, ...]
    calls: tuple[int, ...]
    parts: tuple[str, ...]
    seconds: float

    @property
    def main_size(self) -> int:
        """The size nearest to the target, at which the number of services is varied and the hours are run."""
        return min(self.nodes, key=lambda nodes: abs(nodes - TARGET_NODES))


def services_of(nodes: int) -> int:
    """Return the number of services of a fleet: one for five nodes, like the target's 150 for 740.

    >>> services_of(12), services_of(740), services_of(1_500)
    (2, 148, 150)
    """
    return max(2, min(TARGET_SERVICES, nodes // 5))


def memory_bytes(nodes: int) -> float:
    """Return an upper bound on the memory of a fleet in virtual time: every node has each controller's list.

    >>> memory_bytes(1_500) < MAX_MEMORY < memory_bytes(5_000)
    True
    """
    return float(nodes * nodes * CONTROLLERS * RECORD_BYTES)


def parse_plan(nodes: str, services: str, calls: str, only: str | None, seconds: float) -> Plan:
    """Return the plan for the command's options.

    :raises PlanError: with the name of the invalid option
    """
    parts = PARTS if only is None else tuple(only.split(","))
    for part in parts:
        if part not in PARTS:
            raise PlanError(f"--only {part}: not one of {', '.join(PARTS)}")
    sizes = _parse_numbers("--nodes", nodes, 8, 100_000)
    for size in sizes:
        if memory_bytes(size) > MAX_MEMORY:
            needed = memory_bytes(size) / 1e9
            raise PlanError(
                f"--nodes {size}: may need {needed:.0f} GB of memory; the limit is {MAX_MEMORY / 1e9:.0f} GB"
            )
    if not SECONDS_RANGE[0] <= seconds <= SECONDS_RANGE[1]:
        raise PlanError(f"--seconds must be from {SECONDS_RANGE[0]:g} to {SECONDS_RANGE[1]:g}")
    service_counts = _parse_numbers("--services", services, 2, MAX_SERVICES)
    return Plan(sizes, service_counts, _parse_numbers("--calls", calls, 1, MAX_CALLS), parts, seconds)


def _parse_numbers(option: str, text: str, minimum: int, maximum: int) -> tuple[int, ...]:
    try:
        numbers = [int(item) for item in text.split(",")]
    except ValueError:
        raise PlanError(f"{option} {text}: not a comma-separated list of integers") from None
    for number in numbers:
        if not minimum <= number <= maximum:
            raise PlanError(f"{option} {number}: must be from {minimum} to {maximum}")
    return tuple(sorted(set(numbers)))
