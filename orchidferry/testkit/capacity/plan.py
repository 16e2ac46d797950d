"""What one run of `orchidferry capacity` is to measure, read and checked before anything starts."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.errors import OrchidferryError

PARTS = ("processes", "fleets", "hours", "calls", "claims")
TARGET_NODES = 740
TARGET_SERVICES = 150
TARGET_CALLS = 64  # a second at one node: 47,000 over 740
TARGET_CLAIMS = 9_400  # a second: one call in five, as on the sites' own days
MAX_SERVICES = 1_000
CONTROLLERS = 5  # of a fleet in virtual time: the machines that are set aside
RECORD_BYTES = 300  # of one node's copy of one record, with its place in a dictionary: a bound, not a figure
MAX_MEMORY = 16e9
SECONDS = (0.2, 30.0)
MAX_CALLS = 2_000


class PlanError(OrchidferryError, ValueError):
    """What was asked for can't be measured; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Plan:
    """Sizes and parts of one run."""

    nodes: tuple[int, ...]
    services: tuple[int, ...]
    calls: tuple[int, ...]
    parts: tuple[str, ...]
    seconds: float

    @property
    def wide(self) -> int:
        """The size at which the number of services is varied: the one nearest to the target."""
        return min(self.nodes, key=lambda nodes: abs(nodes - TARGET_NODES))


def services_of(nodes: int) -> int:
    """How many services a fleet of a size has: one for five nodes, as the target's 150 for 740.

    >>> services_of(12), services_of(740), services_of(1_500)
    (2, 148, 150)
    """
    return max(2, min(TARGET_SERVICES, nodes // 5))


def memory_bytes(nodes: int) -> float:
    """A bound on what a fleet in virtual time may take: every node has each controller's list.

    >>> memory_bytes(1_500) < MAX_MEMORY < memory_bytes(5_000)
    True
    """
    return float(nodes * nodes * CONTROLLERS * RECORD_BYTES)


def read_plan(nodes: str, services: str, calls: str, only: str | None, seconds: float) -> Plan:
    """A plan out of the command's words; `PlanError` names the option."""
    parts = PARTS if only is None else tuple(only.split(","))
    for part in parts:
        if part not in PARTS:
            raise PlanError(f"--only {part}: not one of {', '.join(PARTS)}")
    sizes = _numbers("--nodes", nodes, 8, 100_000)
    for size in sizes:
        if memory_bytes(size) > MAX_MEMORY:
            needed = memory_bytes(size) / 1e9
            raise PlanError(f"--nodes {size}: may take {needed:.0f} GB, over {MAX_MEMORY / 1e9:.0f}")
    if not SECONDS[0] <= seconds <= SECONDS[1]:
        raise PlanError(f"--seconds must be within {SECONDS[0]:g} to {SECONDS[1]:g}")
    some = _numbers("--services", services, 2, MAX_SERVICES)
    return Plan(sizes, some, _numbers("--calls", calls, 1, MAX_CALLS), parts, seconds)


def _numbers(option: str, text: str, least: int, most: int) -> tuple[int, ...]:
    try:
        numbers = [int(word) for word in text.split(",")]
    except ValueError:
        raise PlanError(f"{option} {text}: not numbers with commas between") from None
    for number in numbers:
        if not least <= number <= most:
            raise PlanError(f"{option} {number}: must be {least} to {most}")
    return tuple(sorted(set(numbers)))
