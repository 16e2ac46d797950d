"""The node's metrics and their text format.

Counters start at 0 when the process starts and never decrease; monitoring systems compute differences.
"""

from __future__ import annotations

from collections.abc import Iterable

HTTP_OK = 200
REFUSAL_STATUSES = frozenset((429, 503))

OUTCOMES = ("success", "busy", "failure")  # names in the metrics, indexed by the constants below
SUCCESS = 0
BUSY = 1
FAILURE = 2


class Metrics:
    """Counts requests by class and outcome, and attempts whose last byte was written to a server."""

    __slots__ = ("_attempts", "_outcomes")

    def __init__(self, classes: Iterable[str]) -> None:
        self._outcomes = {name: [0] * len(OUTCOMES) for name in classes}
        self._attempts = dict.fromkeys(self._outcomes, 0)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add request classes; classes that are no longer configured keep their counts."""
        for name in classes:
            self._outcomes.setdefault(name, [0] * len(OUTCOMES))
            self._attempts.setdefault(name, 0)

    def count_request(self, class_name: str, status: int) -> None:
        """Count a request by the HTTP status of its answer."""
        outcome = SUCCESS if status == HTTP_OK else BUSY if status in REFUSAL_STATUSES else FAILURE
        self._outcomes[class_name][outcome] += 1

    def count_attempt(self, class_name: str) -> None:
        """Count an attempt whose last byte was written to a server."""
        self._attempts[class_name] += 1

    def render(self, inflight: int, hosts_listed: int, hosts_down: int) -> bytes:
        """Return all metrics as text.

        Each line is `node.NAME=value`, or `node.calls.CLASS.NAME=value` for a metric of one request class.

        :param inflight: number of requests that are not answered completely.
        :param hosts_listed: number of listed servers.
        :param hosts_down: number of listed servers that get no requests.
        """
        lines = []
        for class_name, counts in self._outcomes.items():
            for outcome, count in zip(OUTCOMES, counts, strict=True):
                lines.append(f"node.calls.{class_name}.{outcome}={count}")
            lines.append(f"node.calls.{class_name}.backend_calls={self._attempts[class_name]}")
        lines += [
            f"node.backend_calls={sum(self._attempts.values())}",
            f"node.inflight={inflight}",
            f"node.hosts_listed={hosts_listed}",
            f"node.hosts_down={hosts_down}",
        ]
        return "\n".join([*lines, ""]).encode()
