"""Figures at the planned size, calculated from measured ones, as the tables of a page.

``python -m magnoliarouter.standins.bench.sizing PAGE FIGURES`` writes the tables between the
markers of the page, from the files that ``magnolia-bench capacity`` and ``path`` wrote with
``--write FIGURES``.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Plan", "read_figures", "render_tables", "replace_tables"]

BEGIN_MARKER = "<!-- tables begin -->\n"
END_MARKER = "<!-- tables end -->\n"
WATCHED_KINDS = 9
RELAYS_PER_ZONE = 2
LEASE_CANDIDATES = 3
WATCH_TIMEOUT_S = 10.0
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Plan:
    """Planned size and load of the fleet.

    Parameters
    ----------
    daemons, endpoints, zones, customers, groups : int
        Number of entry daemons, engines, availability zones, contracts and expert groups.
    requests_per_s, tokens_per_s : float
        Requests and generated tokens per second at the peak.
    amendments_per_day, replaced_vms_per_day : int
        Amendments and replaced VMs per day.
    slots_per_zone : int
        Slots of quota ownership in each zone, each leased by a quota home.
    lease_seconds, group_lease_seconds : float
        Duration of the leases on a home slot and on the control of a group, in seconds.
    """

    daemons: int = 380
    endpoints: int = 600
    zones: int = 7
    customers: int = 2900
    groups: int = 150
    requests_per_s: float = 5500.0
    tokens_per_s: float = 1_300_000.0
    amendments_per_day: int = 1100
    replaced_vms_per_day: int = 60
    slots_per_zone: int = 20
    lease_seconds: float = 30.0
    group_lease_seconds: float = 30.0


def read_figures(folder: Path) -> dict[str, dict[str, Any]]:
    """Return the written figures by experiment."""
    return {
        path.stem: msgspec.json.decode(path.read_bytes()) for path in sorted(folder.glob("*.json"))
    }


def render_tables(figures: dict[str, dict[str, Any]], plan: Plan) -> str:
    """Return the tables of the page as Markdown.

    Parameters
    ----------
    figures : dict
        Written figures by experiment; ``capacity`` and ``path`` are required.
    plan : Plan
        Planned size to calculate.
    """
    capacity, path = figures["capacity"], figures["path"]
    parts = [
        _render_source(capacity, path),
        _render_slopes(capacity),
        _render_daemon(capacity, path, plan),
        _render_platform(capacity, plan),
    ]
    return "\n".join(parts)


def replace_tables(page: str, tables: str) -> str:
    """Return a page with the text between its markers replaced by the tables."""
    head, _, rest = page.partition(BEGIN_MARKER)
    _, _, tail = rest.partition(END_MARKER)
    return f"{head}{BEGIN_MARKER}{tables}{END_MARKER}{tail}"


def _render_source(capacity: dict[str, Any], path: dict[str, Any]) -> str:
    return (
        f"Measured on {capacity['date']} by `magnolia-bench capacity --seed {capacity['seed']}` and "
        f"on {path['date']} by `magnolia-bench path --seed {path['seed']}`.\n"
    )


def _render_table(head: tuple[str, ...], rows: list[tuple[Any, ...]]) -> str:
    lines = [head, ("---",) * len(head), *rows]
    return "".join(f"| {' | '.join(map(str, line))} |\n" for line in lines)


def _render_slopes(capacity: dict[str, Any]) -> str:
    rows = [
        (
            name,
            f"{capacity[f'per_{name}_memory_kb']:.1f} KB",
            f"{capacity[f'per_{name}_core_us_per_s']:.1f} µs",
            f"{capacity[f'per_{name}_peers_bytes_per_s']:.1f} B",
            f"{capacity[f'per_{name}_platform_reads_per_s']:.3f}",
            f"{capacity[f'per_{name}_platform_writes_per_s']:.3f}",
            f"{capacity[f'per_{name}_platform_watches_per_s']:.3f}",
        )
        for name in ("contract", "endpoint", "entry")
    ]
    head = (
        "for each further",
        "memory of a daemon",
        "processor time a second",
        "peers' bytes/s",
        "platform reads/s, whole site",
        "writes/s",
        "watch calls/s",
    )
    return "### Slopes\n\n" + _render_table(head, rows)


def _render_daemon(capacity: dict[str, Any], path: dict[str, Any], plan: Plan) -> str:
    requests, tokens = plan.requests_per_s / plan.daemons, plan.tokens_per_s / plan.daemons
    request_cost = path["entry_75rps_cpu_ms_per_request"]
    token_cost = path["entry_cpu_ms_per_1000_tokens"]
    data_share = (requests * request_cost + tokens / 1000 * token_cost) / 1000
    idle_share = capacity["c2900_e600_d3_core_share"]
    quota = capacity["quota_core_share_at_peak"]
    amend = (
        capacity["c2900_e600_d3_ms_per_amendment"]
        * plan.amendments_per_day
        / SECONDS_PER_DAY
        / 1000
    )
    traffic = capacity["c2900_e600_d3_peers_kb_s"]
    loans = capacity["load_escrow_peers_kb_s"] - capacity["load_static_peers_kb_s"]
    resident_mb = capacity["c2900_e600_d3_resident_mb"]
    rows = [
        ("requests and tokens a second", f"{requests:.1f} and {tokens:.0f}", "", ""),
        ("data path, processor", f"{100 * data_share:.0f}% of a core", "", "placement, streams"),
        ("control at rest, processor", f"{100 * idle_share:.2f}%", "", "relays, collectors, slots"),
        ("loans at the peak, processor", f"{100 * quota:.2f}%", "", "escrow over gRPC streams"),
        ("amendments, processor", f"{100 * amend:.4f}%", "", "relayed objects"),
        ("control in all, processor", f"{100 * (idle_share + quota + amend):.2f}%", "1.4%", ""),
        ("peers' bytes at rest", f"{traffic:.2f} KB/s", "", "digests, relays"),
        ("loans at the peak, bytes", f"{loans:.2f} KB/s", "", "escrow"),
        ("control in all, bytes", f"{traffic + loans:.2f} KB/s", "13 KB/s", ""),
        ("whole process, resident", f"{resident_mb:.1f} MB", "", "two thirds are libraries"),
        ("bare data path, resident", f"{capacity['bare_resident_mb']:.1f} MB", "", ""),
        ("control's part, resident", f"{capacity['control_resident_mb']:.1f} MB", "32 MB", ""),
    ]
    head = ("entry daemon at full size", "figure", "target", "carried by")
    return "### One entry daemon\n\n" + _render_table(head, rows)


def _render_platform(capacity: dict[str, Any], plan: Plan) -> str:
    slots = plan.zones * plan.slots_per_zone
    renew_interval_s, group_renew_interval_s = plan.lease_seconds / 3, plan.group_lease_seconds / 3
    relays = plan.zones * RELAYS_PER_ZONE
    waiting_watches = relays * WATCHED_KINDS
    amended_per_s = plan.amendments_per_day / SECONDS_PER_DAY
    replaced_per_s = plan.replaced_vms_per_day / SECONDS_PER_DAY
    writes = (
        slots / renew_interval_s,
        plan.groups / group_renew_interval_s,
        3 * amended_per_s + 4 * replaced_per_s,
    )
    reads = (
        LEASE_CANDIDATES * slots / renew_interval_s,
        (LEASE_CANDIDATES - 1) * plan.groups / plan.group_lease_seconds,
        waiting_watches / WATCH_TIMEOUT_S,
        relays * (amended_per_s + replaced_per_s),
    )
    rows = [
        ("leases on home slots", f"{writes[0]:.1f}", f"{reads[0]:.1f}", f"{slots} slots"),
        ("leases on groups", f"{writes[1]:.1f}", f"{reads[1]:.1f}", f"{plan.groups} groups"),
        ("watches of the relays", "", f"{reads[2] + reads[3]:.1f}", f"{waiting_watches} waiting"),
        ("amendments, replaced VMs", f"{writes[2]:.2f}", "", "a day's mean"),
        ("in all", f"{sum(writes):.1f}", f"{sum(reads):.1f}", "targets: 100 and 400"),
    ]
    head = ("platform, control only", "writes/s", "reads/s", "from")
    measured = (
        f"\nMeasured at 18 daemons in 3 zones with the default 2 slots and 10 s: "
        f"{capacity['c10_e16_d18_platform_reads_s']:.1f} reads, "
        f"{capacity['c10_e16_d18_platform_writes_s']:.1f} writes and "
        f"{capacity['c10_e16_d18_platform_watches_s']:.1f} watch calls a second.\n"
    )
    return "### Platform\n\n" + _render_table(head, rows) + measured


def main(arguments: list[str]) -> int:
    """Write the tables into a page."""
    page, folder = (Path(argument) for argument in arguments)
    tables = render_tables(read_figures(folder), Plan())
    page.write_text(replace_tables(page.read_text(encoding="utf-8"), tables), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
