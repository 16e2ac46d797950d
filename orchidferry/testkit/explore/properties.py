"""The properties that must hold in every run of a world, and their violations."""

from __future__ import annotations

from dataclasses import dataclass

PROPERTIES = {
    "one-answer": "rule 1, no request lost: exactly one final answer for each request, in time",
    "no-effect-twice": "rule 2: what may have run is sent again only as its class, group and window allow",
    "drains-kept": "rule 3: no new request goes to a server that was reported draining or gone",
    "cold-spared": "rule 4: a cold server gets no more than its budget",
    "one-end": "the node's contract: each Send ends in exactly one AttemptEnded",
    "harmless-refusals": "rule 1: 503 only where a retry does no harm",
    "nothing-left": "counters return to zero; no timer, task or connection is leaked",
    "no-exception": "no exception is unhandled, and no error is logged",
    "at-rest": "the event loop becomes idle",
}


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a property.

    :ivar name: of the property
    :ivar what: what has happened
    """

    name: str
    what: str
