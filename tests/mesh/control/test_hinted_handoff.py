"""Hinted handoff beside a plain list of all writes."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control.hinted_handoff import RECENT_S, HintPage, Hints


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("wwwsabt"), st.integers(0, 5)), max_size=60))
def test_what_a_silent_controller_misses_is_kept_for_it(events: list[tuple[str, int]]) -> None:
    """Beside a list of all writes since 4 s before its silence: none is left out, none is sent for ever."""
    hints = Hints()
    now = 100.0
    owed = set[str]()
    silent = False
    wrote: list[tuple[float, str]] = []
    page: HintPage | None = None
    for what, n in events:
        now += n / 2
        if what == "w":
            key = f"k{len(wrote)}"
            wrote.append((now, key))
            hints.record_write(key, now)
            owed |= {key} if silent else set()
        elif what == "s":
            hints.mark_silent("x", now)
            silent = True
            page = None
            owed |= {key for at, key in wrote if at >= now - RECENT_S}
        elif what == "a" and page is not None:
            hints.acknowledge("x", page.number)
            owed -= set(page.keys)
            page = None
        elif what == "b":
            silent = False
            if (found := hints.next_page("x", now, 3)) is not None:
                assert len(found.keys) <= 3 and (page is None or found == page)
                page = found
    for _ in range(len(wrote) + 2):
        now += 2.0
        if (found := hints.next_page("x", now, 3)) is not None:
            owed -= set(found.keys)
            hints.acknowledge("x", found.number)
    assert not owed and not hints.kept
