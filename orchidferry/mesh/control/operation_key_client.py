"""The node's half of operation keys: the controllers of each shard, and the pending claims. No I/O.

The replies of controllers to a claim are counted only if they were sent under one and the same epoch of the
group of controllers that holds the shard of the key.

>>> count = GrantCount(0, ("a", "b", "c"))
>>> granted = ClaimOutcome.GRANTED
>>> [count.add(*answer, granted, None) for answer in (("a", 0), ("b", 1), ("b", 0))]
[None, None, <ClaimOutcome.GRANTED: 'yours'>]
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.key_releases import KeyReleases
from orchidferry.mesh.control.operation_keys import ClaimOutcome, max_retention_s
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyGrant, Message

RETRY_INTERVAL_S = 0.12  # interval after which a claim is sent again to controllers that have not replied
MAX_PENDING_CLAIMS = 20_000

OnClaimed = Callable[[ClaimOutcome, Any], None]  # called with the outcome and the stored response, if any


@dataclass(slots=True)
class GrantCount:
    """The replies of one group's controllers to a claim."""

    epoch: int
    group: tuple[str, ...]
    granted: set[str] = field(default_factory=set)  # controllers that granted the key
    held: set[str] = field(default_factory=set)  # controllers at which another attempt holds the key

    def restart(self, epoch: int, group: tuple[str, ...]) -> None:
        """Start counting again for a new group; the replies of the previous group no longer count."""
        self.epoch = epoch
        self.group = group
        self.granted = set()
        self.held = set()

    def awaits(self, controller: str) -> bool:
        """Return whether a controller has not replied yet."""
        return controller not in self.granted and controller not in self.held

    def add(self, controller: str, epoch: int, outcome: str, answer: Any) -> ClaimOutcome | None:
        """Count the reply of a controller.

        :param epoch: epoch of the group, as the controller knows it
        :param outcome: value of a `ClaimOutcome`, as received
        :param answer: response of the attempt that holds the key, if it is known
        :returns: the outcome of the claim, or None while it is undecided
        """
        if epoch != self.epoch or controller not in self.group:
            return None
        if outcome == ClaimOutcome.HELD_BY_OTHER:
            self.held.add(controller)
            if answer is not None:
                return ClaimOutcome.HELD_BY_OTHER
        elif outcome == ClaimOutcome.GRANTED:
            self.granted.add(controller)
        half = len(self.group) / 2.0
        if len(self.granted) > half:
            return ClaimOutcome.GRANTED
        split = bool(self.held) and len(self.held | self.granted) == len(self.group)
        return ClaimOutcome.HELD_BY_OTHER if len(self.held) > half or split else None


@dataclass(slots=True)
class ShardGroup:
    """The newest known group of controllers of one shard, and the shard's newest known owner.

    :param epoch: epoch of the group; -1 while no group is known
    :param names: names of the controllers of the group
    :param owner: name of the controller that owns the shard; "" if there is none
    :param fencing_token: highest known fencing token, the one of `owner`; -1 while none is known
    """

    epoch: int
    names: tuple[str, ...]
    owner: str = ""
    fencing_token: int = -1


@dataclass(slots=True)
class Claim:
    """A pending claim of a key for one attempt.

    :param request: number of the claim in this process
    :param holder: id of the attempt
    :param deadline_s: time at which the claim ends undecided
    :param next_send_s: time at which it is sent again to the controllers that have not replied
    """

    request: int
    shard: int
    key: str
    holder: str
    on_claimed: OnClaimed
    count: GrantCount
    deadline_s: float
    next_send_s: float

    @property
    def message(self) -> KeyClaim:
        """The message that is sent to each controller of the group."""
        return KeyClaim(self.request, self.count.epoch, self.key, self.holder)


class OperationKeyClient:
    """All claims and releases of one node."""

    def __init__(self, seeds: tuple[str, ...], send: Callable[[str, Message], None], window_s: float) -> None:
        """Create a client without pending claims.

        :param seeds: names of the controllers that are asked while no group is known
        :param send: sends a message to a controller by name; the message is lost if there is no link to it
        :param window_s: minimum time for which controllers keep a key, in seconds
        """
        self.groups = {shard: ShardGroup(-1, seeds) for shard in shard_state.SHARDS}
        self.releases = KeyReleases(max_retention_s(window_s), send)
        self._send = send
        self._pending: dict[int, Claim] = {}  # by request number
        self._last_request = 0
        self._now = 0.0  # time of the last `claim` or `tick`

    def controllers(self) -> set[str]:
        """Return the names of the controllers of all shards."""
        return {name for group in self.groups.values() for name in group.names}

    def update_group(self, shard: int, group: ShardGroup, now: float) -> bool:
        """Update the known group and owner of a shard from a controller's announcement.

        :returns: whether the group or the owner is newer than the known one
        """
        known = self.groups[shard]
        newer = group.epoch > known.epoch or group.fencing_token > known.fencing_token
        if group.fencing_token > known.fencing_token:
            known.owner = group.owner
            known.fencing_token = group.fencing_token
        if group.epoch > known.epoch:
            known.epoch = group.epoch
            known.names = group.names
            for claim in self._pending.values():
                if claim.shard == shard:
                    claim.count.restart(group.epoch, group.names)
                    self._send_claim(claim, now)
        return newer

    def claim(self, key: str, holder: str, timeout_s: float, on_claimed: OnClaimed, now: float) -> None:
        """Claim a key for one attempt. A key that is not granted is released.

        :param holder: id of the attempt
        :param timeout_s: time after which an undecided claim ends, in seconds
        :param on_claimed: called once, with the outcome and with the response of the attempt that holds the
            key, if that is another attempt and its response is known (None otherwise)
        """
        if len(self._pending) >= MAX_PENDING_CLAIMS:
            return on_claimed(ClaimOutcome.UNDECIDED, None)
        self._last_request += 1
        self._now = now
        shard = shard_state.shard_of(key)
        group = self.groups[shard]
        count = GrantCount(group.epoch, group.names)
        claim = Claim(self._last_request, shard, key, holder, on_claimed, count, now + timeout_s, now)
        self._pending[claim.request] = claim
        self._send_claim(claim, now)
        return None

    def tick(self, now: float) -> None:
        """Send due claims and releases again, and end the claims whose deadline has passed."""
        self._now = now
        for claim in list(self._pending.values()):
            if now >= claim.deadline_s:
                self._end(claim, ClaimOutcome.UNDECIDED, None)
            elif now >= claim.next_send_s:
                self._send_claim(claim, now)
        self.releases.tick(self.controllers(), now)

    def link_opened(self, controller: str, now: float) -> None:
        """Send pending releases and claims again over a new link to a controller.

        Releases are sent first, as a claim may depend on the release of its key.
        """
        self.releases.link_opened(controller, now)
        for claim in self._pending.values():
            if controller in claim.count.group:
                self._send(controller, claim.message)

    def handle_grant(self, controller: str, grant: KeyGrant) -> None:
        """Handle the reply of a controller to a claim."""
        claim = self._pending.get(grant.request)
        if claim is None:
            return
        outcome = claim.count.add(controller, grant.epoch, grant.outcome, grant.answer)
        if outcome is not None:
            answer = grant.answer if outcome is ClaimOutcome.HELD_BY_OTHER else None
            self._end(claim, outcome, answer)

    def release(self, key: str, holder: str) -> None:
        """Release a key whose attempt has not run and never will."""
        self.releases.add(key, holder, self.groups[shard_state.shard_of(key)].names, self._now)

    def record_answer(self, key: str, holder: str, answer: Any) -> None:
        """Send the response of the attempt that ran to the controllers, which store it with the key."""
        message = KeyAnswer(key, holder, answer)
        for controller in self.groups[shard_state.shard_of(key)].names:
            self._send(controller, message)

    def _send_claim(self, claim: Claim, now: float) -> None:
        claim.next_send_s = now + RETRY_INTERVAL_S
        for controller in claim.count.group:
            if claim.count.awaits(controller):
                self._send(controller, claim.message)

    def _end(self, claim: Claim, outcome: ClaimOutcome, answer: Any) -> None:
        del self._pending[claim.request]
        if outcome is ClaimOutcome.UNDECIDED and claim.count.held:
            outcome = ClaimOutcome.HELD_BY_OTHER
        if outcome is not ClaimOutcome.GRANTED:
            self.release(claim.key, claim.holder)
        claim.on_claimed(outcome, answer)
