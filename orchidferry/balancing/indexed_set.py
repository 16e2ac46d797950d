"""A set with access by index, for random sampling; every operation takes constant time."""

from __future__ import annotations


class IndexedSet:
    """A set in order of insertion, except that the last member takes the place of a removed one."""

    __slots__ = ("_positions", "items")

    def __init__(self) -> None:
        self.items: list[int] = []
        self._positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: int) -> bool:
        return item in self._positions

    def add(self, item: int) -> None:
        """Add a member, if it is not in the set."""
        if item not in self._positions:
            self._positions[item] = len(self.items)
            self.items.append(item)

    def remove(self, item: int) -> None:
        """Remove a member, if it is in the set."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self.items.pop()
        if position < len(self.items):
            self.items[position] = last
            self._positions[last] = position
