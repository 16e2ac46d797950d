"""Forms of access logs, each as a function from a line to an `Entry`. No I/O.

A form is given as text:

- `common`, `combined`: the Common and Combined Log Format, as Apache and nginx write them;
- any Apache `LogFormat` string (`%h %l %u %t "%r" %>s %b`), any nginx `log_format` string (with `$`);
- `json:KEY=FIELD,...`: a JSON object a line; FIELD may be a path such as `http.method`;
- `tab:KEY=COLUMN,...` and `space:KEY=COLUMN,...`: columns from 1, quoted with `"` where they hold the
  separator; `alb`: an Application Load Balancer's.

KEYs are start, end, took, request, method, target, status, sent, received, address, agent, host, aborted,
spread (both true or false; the time has been spread within its second already), and any other name for a
header or cookie that identities may be taken from. `took=FIELD:ms` (or us) gives its unit.

Apache logs when a request began, nginx and ALB when it ended: from `end`, the start is reckoned with `took`.
Sources: Apache mod_log_config, nginx ngx_http_log_module, ALB access log syntax; all as published.
"""

from __future__ import annotations

from datetime import tzinfo
from zoneinfo import ZoneInfo

from orchidferry.testkit.traffic.log_fields import LogFormatError, Parser
from orchidferry.testkit.traffic.mapped_formats import column_format, json_format
from orchidferry.testkit.traffic.string_formats import Layout, string_format, string_layout

__all__ = ["Layout", "LogFormatError", "Parser", "compile_format", "layout_of"]

COMMON = '%h %l %u %t "%r" %>s %b'
COMBINED = COMMON + ' "%{Referer}i" "%{User-Agent}i"'
ALB = "space:end=2,address=4,took=6+7+8,status=9,received=11,sent=12,request=13,agent=14"
MAPPED = ("json", "tab", "space")  # kinds of forms that are a map from keys to fields
MAX_FORMAT = 4_096  # characters


def layout_of(text: str, wanted: frozenset[str] = frozenset()) -> Layout | None:
    """Find the layout of a format string that has only usual fields.

    :param wanted: headers and cookies that must be read.
    :returns: the layout; None for other formats.
    :raises LogFormatError: if the format can't be used.
    """
    text = _named(text)
    if text.partition(":")[0] in MAPPED:
        return None
    return string_layout(text, wanted)


def _named(text: str) -> str:
    return {"common": COMMON, "combined": COMBINED, "alb": ALB}.get(text, text)


def compile_format(text: str, zone: tzinfo | None = None) -> Parser:
    """Compile a format.

    :param zone: of times that name none; None for UTC.
    :returns: a function that parses a line, and raises `EntryError` if it is no request.
    :raises LogFormatError: if the format can't be used.
    """
    zone = zone or ZoneInfo("UTC")
    if len(text) > MAX_FORMAT:
        raise LogFormatError(f"{len(text)} characters, {MAX_FORMAT} at most")
    text = _named(text)
    kind, colon, rest = text.partition(":")
    if colon and kind == "json":
        return json_format(rest, zone)
    if colon and kind in ("tab", "space"):
        return column_format(rest, "\t" if kind == "tab" else " ", zone)
    return string_format(text, zone)
