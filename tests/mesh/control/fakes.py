"""Test doubles shared by the tests of the control modules."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from pathlib import Path
from typing import Any

from orchidferry.mesh.control.controller import Controller
from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord
from orchidferry.mesh.control.subscriber import Subscriber
from orchidferry.mesh.control.update_stream import StreamChange
from orchidferry.mesh.settings import Settings, parse_settings
from orchidferry.mesh.wire.codec import LENGTH_BYTES, decode, encode
from orchidferry.mesh.wire.messages import (
    Message,
    Update,
)
from orchidferry.testkit.model.fanout_world import World
from tests.mesh.examples import SETTINGS_TABLES


def record(name: str, number: int = 1, zone: str = "z", boot: int = 1) -> NodeRecord:
    return NodeRecord(name, boot, number, zone, "10.0.0.1", 1, None)


def decoded(change: StreamChange) -> StreamChange:
    """Return a change after encoding and decoding it as an `Update` message."""
    update = decode(encode(Update(change))[LENGTH_BYTES:])
    assert isinstance(update, Update)
    return update.change


class RecordingLink:
    """A fake of one end of a link, which records the sent messages."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.closed = False
        self.open = True
        self.max_unsent_bytes = 0
        self.peer = ""

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def send_encoded(self, data: bytes) -> None:
        self.sent.append(decode(data[LENGTH_BYTES:]))

    def kinds(self) -> list[type[Message]]:
        """Return the types of all sent messages."""
        return [type(message) for message in self.sent]

    def close(self) -> None:
        self.closed = True
        self.open = False


def make_subscriber(name: str, boot: int) -> tuple[Any, list[str]]:
    """Return a subscriber that is connected to a controller, and the list of names that it dials."""
    loop: Any = World(1, 1).start("loop", 0)
    dialled: list[str] = []
    subscriber: Any = Subscriber(
        NodeIdentity(name, boot, "z"),
        loop,
        random.Random(1),
        lambda name, ip: dialled.append(name),
        lambda: None,
        lambda revision, link: None,
    )
    subscriber.controller_connected("k", RecordingLink())
    return subscriber, dialled


def make_controller(folder: Path, port: int = 1) -> Controller:
    return Controller(controller_settings(folder, port), asyncio.get_running_loop())


def controller_settings(folder: Path, port: int = 1) -> Settings:
    return dataclasses.replace(
        parse_settings(SETTINGS_TABLES),
        ip="127.0.0.1",
        seeds=("127.0.0.1",),
        first_start=True,
        internal_port=port,
        listen={"control": ("127.0.0.1", 0)},
        data_dir=str(folder),
    )
