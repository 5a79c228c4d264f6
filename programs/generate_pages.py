"""Generate the pages of settings and metrics; `--check` only reports whether they are outdated."""

import pathlib
import sys

from oleander_base import metrics
from oleanderdeal import help_texts, setting_table

_DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
_SETTINGS_HEADER = """# Settings

Generated from the table in `setting_table.py` by `make pages`. Each setting is a flag `--name` and an
environment variable; the flag overrides the variable. All are checked at the start, and every fault is
reported with its flag or variable. An unknown flag, or an unknown variable with the program's prefix, is an
error that names the most similar one.
"""
_METRICS_HEADER = """# Metrics

Generated from the table in `metrics.py` by `make pages`. Metrics are sent over UDP in the statsd format to
`--statsd_host`, with the prefix `oleanderdeal.ROLE.NAME.` before the names below. Counters are also kept in
memory, where `report` reads them.
"""
_ALERTS = """
## Alerts to start with

| alert | when | first look |
|---|---|---|
| a promise is broken | `invariant.broken` above 0 | the log line `event=invariant-broken`; keep all logs |
| outcomes unknown | `requests.unknown` above 1 in 1,000 for 5 min | sidecars that ended, links that break |
| the log is down | `log.failed_calls` rises on most hosts for 1 min | the platform's log; OPERATIONS, "The log is down" |
| too little capacity | `requests.refused` above 5 in 100 for 5 min | `queue.depth`, the report's refusals by reason |
| samples go stale | `samples.stale` above 1 in 10 of `samples.delivered` | step length against version interval; the contract's bound |
| configuration lags | `configuration.offset` differs between hosts for 30 s | hosts cut off from the log and from their peers |
"""


def format_settings() -> str:
    """Return the page of settings as Markdown, with a table for each command."""
    lines = [_SETTINGS_HEADER]
    for command in setting_table.Command:
        lines += [f"## oleanderdeal {command}", "", help_texts.summarize(command), ""]
        lines += ["| flag | variable | values | default | meaning |", "|---|---|---|---|---|"]
        for setting in setting_table.list_settings(command):
            default = help_texts.describe_default(setting).removeprefix("default: ")
            values = help_texts.describe_values(setting)
            lines.append(
                f"| `{setting.flag}` | `{setting.variable}` | {values} | {default} "
                f"| {setting.help} |"
            )
        lines.append("")
    return "\n".join(lines)


def format_metrics() -> str:
    """Return the page of metrics as Markdown, with the recommended alerts."""
    lines = [_METRICS_HEADER, "| name | type | unit | meaning | when it moves |"]
    lines.append("|---|---|---|---|---|")
    for item in metrics.list_metrics():
        lines.append(
            f"| `{item.name}` | {item.kind} | {item.unit} | {item.meaning} | {item.action} |"
        )
    return "\n".join(lines) + "\n" + _ALERTS


def main() -> None:
    """Write outdated pages; with `--check`, name them and exit with status 1 instead."""
    pages = {"SETTINGS.md": format_settings(), "METRICS.md": format_metrics()}
    is_check = "--check" in sys.argv
    outdated = [
        name
        for name, text in pages.items()
        if not (_DOCS / name).exists() or (_DOCS / name).read_text() != text
    ]
    if is_check and outdated:
        sys.exit(f"docs differ from the tables, run make pages: {', '.join(outdated)}")
    for name in outdated:
        (_DOCS / name).write_text(pages[name])


if __name__ == "__main__":
    main()
