"""Revisions of the configurations in planned changes; they increase in uneven steps."""

from __future__ import annotations

FIRST_REVISION = 3
SECOND_REVISION = 7
LOSING_REVISION = 8
"""Revision of a change to be rejected: based on `FIRST_REVISION`, sent once `SECOND_REVISION` is accepted."""

INVALID_REVISION = 11
"""Revision of a configuration that must be rejected as invalid."""

LAST_REVISION = 19
"""The lowest revision of the configuration that is sent right before a closing fault."""
