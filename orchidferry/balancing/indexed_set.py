"""A set whose members can be drawn by index: adding, removing and drawing cost the same at any size."""

from __future__ import annotations


class IndexedSet:
    """Members in the order in which they were added, but that the last takes the place of one removed."""

    __slots__ = ("_positions", "items")

    def __init__(self) -> None:
        self.items: list[int] = []
        self._positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: int) -> bool:
        return item in self._positions

    def add(self, item: int) -> None:
        """Add a member; nothing if it is one."""
        if item not in self._positions:
            self._positions[item] = len(self.items)
            self.items.append(item)

    def remove(self, item: int) -> None:
        """Remove a member; nothing if it is none."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self.items.pop()
        if position < len(self.items):
            self.items[position] = last
            self._positions[last] = position
