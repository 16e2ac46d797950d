"""A controller's links to the other controllers: those that it dials and those that it accepts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from orchidferry.mesh.settings import Settings
from orchidferry.mesh.wire.framing import Link, dial
from orchidferry.mesh.wire.messages import ControllerHello, Message

DIAL_INTERVAL_S = 0.15  # minimum time between two attempts to dial the same controller


class ControllerLinks:
    """The links between one controller and the others, at most one per direction and controller."""

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[Link, Message], None],
        on_disconnected: Callable[[Link], None],
        on_dialled: Callable[[], None],
    ) -> None:
        """Create a `ControllerLinks` without links.

        :param settings: the process settings.
        :param loop: the event loop.
        :param on_message: called with each message received over a dialled link.
        :param on_disconnected: called when a dialled link is closed; it must call `disconnected`.
        :param on_dialled: called when another controller was dialled successfully.
        """
        self._settings = settings
        self._loop = loop
        self._on_message = on_message
        self._on_disconnected = on_disconnected
        self._on_dialled = on_dialled
        self._dialled: dict[str, Link] = {}
        self._accepted: dict[str, Link] = {}  # includes controllers that are not known otherwise
        self._dialling: set[str] = set()
        self._next_dial_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def dial_missing(self, names: Iterable[str]) -> None:
        """Dial those of the named controllers to which there is no dialled link.

        :param names: names of the controllers, which are also their addresses.
        """
        now = self._loop.time()
        for name in names:
            is_due = now >= self._next_dial_s.get(name, 0.0)
            if name not in self._dialled and name not in self._dialling and is_due:
                self._dialling.add(name)
                self._next_dial_s[name] = now + DIAL_INTERVAL_S
                task = self._loop.create_task(self._dial(name))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _dial(self, name: str) -> None:
        try:
            link = await dial(
                self._on_message,
                self._on_disconnected,
                name,
                self._settings.internal_port,
                self._settings.local_ip,
            )
            if link is not None:
                link.peer = name
                self._dialled[name] = link
                link.send(ControllerHello(self._settings.ip))
                self._on_dialled()
        finally:
            self._dialling.discard(name)

    def accepted(self, link: Link, name: str) -> None:
        """Record a link over which another controller has dialled this one and sent its name."""
        link.peer = name
        self._accepted[name] = link

    def disconnected(self, link: Link) -> None:
        """Forget a closed link, if it was one to a controller."""
        for links in (self._dialled, self._accepted):
            if links.get(link.peer) is link:
                del links[link.peer]

    def send(self, name: str, message: Message) -> None:
        """Send a message to a controller; the message is lost if there is no link to that controller."""
        link = self._dialled.get(name) or self._accepted.get(name)
        if link is not None:
            link.send(message)

    def open_links(self) -> list[Link]:
        """Return one open link to each controller: the dialled one, if there are two."""
        return [link for link in {**self._accepted, **self._dialled}.values() if link.open]
