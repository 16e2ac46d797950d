"""What the node counts for its operators, and the form in which it tells it.

Counts start at 0 with the process and only grow; whoever reads them takes differences.
"""

from __future__ import annotations

from collections.abc import Iterable

SUCCESS = 0
BUSY = 1
FAILURE = 2
NAMES = ("success", "busy", "failure")
REFUSALS = frozenset((429, 503))


class Metrics:
    """Requests by class and how they ended, and the attempts that were written whole to servers."""

    __slots__ = ("_attempts", "_ends")

    def __init__(self, classes: Iterable[str]) -> None:
        self._ends = {name: [0, 0, 0] for name in classes}
        self._attempts = dict.fromkeys(self._ends, 0)

    def add(self, classes: Iterable[str]) -> None:
        """Count these classes too; those that are not asked for any more keep their counts."""
        for name in classes:
            self._ends.setdefault(name, [0, 0, 0])
            self._attempts.setdefault(name, 0)

    def ended(self, cls: str, status: int) -> None:
        """A request of a class was answered, or its caller had gone before."""
        self._ends[cls][SUCCESS if status == 200 else BUSY if status in REFUSALS else FAILURE] += 1

    def attempt(self, cls: str) -> None:
        """The last byte of an attempt was written to a server."""
        self._attempts[cls] += 1

    def render(self, inflight: int, hosts_listed: int, hosts_down: int) -> bytes:
        """All figures, a line each: `node.NAME=value`, by class `node.calls.CLASS.NAME=value`."""
        lines = []
        for cls, ends in self._ends.items():
            lines += [f"node.calls.{cls}.{name}={count}" for name, count in zip(NAMES, ends, strict=True)]
            lines.append(f"node.calls.{cls}.backend_calls={self._attempts[cls]}")
        lines += [
            f"node.backend_calls={sum(self._attempts.values())}",
            f"node.inflight={inflight}",
            f"node.hosts_listed={hosts_listed}",
            f"node.hosts_down={hosts_down}",
        ]
        return "\n".join([*lines, ""]).encode()
