"""Counts of the messages and bytes that one process has sent to nodes, by kind and by locality."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class TrafficCounter:
    """Messages and bytes sent since the start.

    :param sent: numbers of messages and bytes, by kind and by whether the receiver is in the sender's zone.
    """

    sent: dict[tuple[str, bool], list[int]] = field(default_factory=dict)

    def add(self, kind: str, same_zone: bool, size: int) -> None:
        """Count one message.

        :param kind: kind of the message.
        :param same_zone: whether the receiver is in the sender's zone.
        :param size: size of the message in bytes.
        """
        entry = self.sent.setdefault((kind, same_zone), [0, 0])
        entry[0] += 1
        entry[1] += size

    def messages(self, kind: str) -> int:
        """Return the number of messages of a kind, to all zones."""
        return sum(count for (of, _), (count, _) in self.sent.items() if of == kind)
