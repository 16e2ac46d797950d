"""A set whose members can be drawn by number: adding, removing and drawing cost the same at any size."""

from __future__ import annotations


class Bag:
    """Members in the order in which they came, but that the last takes the place of one removed."""

    __slots__ = ("_at", "items")

    def __init__(self) -> None:
        self.items: list[int] = []
        self._at: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: int) -> bool:
        return item in self._at

    def add(self, item: int) -> None:
        """Add a member; nothing if it is one."""
        if item not in self._at:
            self._at[item] = len(self.items)
            self.items.append(item)

    def remove(self, item: int) -> None:
        """Remove a member; nothing if it is none."""
        at = self._at.pop(item, None)
        if at is None:
            return
        last = self.items.pop()
        if at < len(self.items):
            self.items[at] = last
            self._at[last] = at
