"""Choice between the links of two controllers, and the fallback when one of them is closed."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from orchidferry.mesh.control import controller_links as module
from orchidferry.mesh.control.controller_links import DIAL_INTERVAL_S, ControllerLinks
from orchidferry.mesh.wire.messages import ControllerHello
from tests.mesh.control.fakes import RecordingLink, controller_settings

HELLO = ControllerHello("x")


def make_links(loop: Any) -> ControllerLinks:
    settings = controller_settings(Path("unused"))
    return ControllerLinks(settings, loop, lambda link, message: None, lambda link: None, lambda: None)


def test_a_dialled_link_is_preferred_to_an_accepted_one(monkeypatch: pytest.MonkeyPatch) -> None:
    accepted: Any = RecordingLink()
    dialled: Any = RecordingLink()

    async def dial(*args: Any) -> Any:
        return dialled

    monkeypatch.setattr(module, "dial", dial)

    async def main() -> None:
        links = make_links(asyncio.get_running_loop())
        links.accepted(accepted, "b")
        links.send("b", HELLO)
        assert accepted.sent == [HELLO] and links.open_links() == [accepted]
        links.dial_missing(["b"])
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert dialled.sent == [ControllerHello("127.0.0.1")] and links.open_links() == [dialled]
        links.send("b", HELLO)
        assert dialled.sent[1:] == [HELLO]
        links.disconnected(dialled)
        assert links.open_links() == [accepted]
        links.disconnected(accepted)
        links.send("b", HELLO)  # lost: there is no link
        assert not links.open_links() and len(accepted.sent) == 1

    asyncio.run(main())


def test_a_controller_that_cannot_be_reached_is_dialled_again_after_an_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    dialled: list[str] = []

    async def dial(on_message: Any, on_disconnected: Any, host: str, *rest: Any) -> None:
        dialled.append(host)

    monkeypatch.setattr(module, "dial", dial)

    async def main() -> None:
        links = make_links(asyncio.get_running_loop())
        for expected in (["b"], ["b"], ["b", "b"]):
            links.dial_missing(["b"])
            await asyncio.sleep(DIAL_INTERVAL_S * 0.6)
            assert dialled == expected

    asyncio.run(main())
