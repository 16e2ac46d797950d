"""What must hold in every run of a world, and what did not."""

from __future__ import annotations

from dataclasses import dataclass

PROPERTIES = {
    "one-answer": "rule 1, no request lost: exactly one final answer for each request, in time",
    "no-effect-twice": "rule 2: nothing that may have run is sent again beyond its class, group and window",
    "drains-kept": "rule 3: nothing new goes to a server once its drain or its end was told",
    "cold-spared": "rule 4: a cold server gets no more than its budget",
    "one-end": "the node's contract: each Send ends in exactly one AttemptEnded",
    "harmless-refusals": "rule 1: 503 only where asking again does no harm",
    "nothing-left": "counters return to nothing; no timer, task or connection without an owner",
    "no-exception": "nothing raises unseen, and no line of the log is an error",
    "at-rest": "the loop comes to rest",
}


@dataclass(frozen=True, slots=True)
class Violation:
    """A property that does not hold."""

    name: str
    what: str
