"""Seeded soak of gateway daemons before engines whose zones are evacuated and come back cold.

By hand: ``python -m magnoliarouter.tests.zone_soak --seeds 50``.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field

from magnoliarouter.tests.prompt_soak import CONTACT_S, CrashingEngine, main
from magnoliarouter.tests.raw_server import RawPeer, build_response
from magnoliarouter.tests.request_soak import RequestSite

ZONES = ("zone-1", "zone-2", "zone-3")
# Stated targets: no request later than this after an evacuation, and at most so many requests in
# any second at an engine that tolerates `COLD_PER_S` while it is cold.
BOUND_S = 2.0
COLD_S = 2.0
COLD_PER_S = 2.0
MAX_COLD_REQUESTS = 1.5 * COLD_PER_S + 5


class ZoneEngine(CrashingEngine):
    """Engine of one zone; it is cold after a start during traffic, or when told so."""

    site: ZoneSite
    cold_until = float("-inf")

    def build_entry(self) -> dict[str, object]:
        self.zone = ZONES[int(self.name[1:]) % len(ZONES)]
        self.arrivals: list[float] = []
        if self.site.daemons:
            self.cold_until = self.site.now() + COLD_S
        left_s = max(0.0, self.cold_until - self.site.now())
        return {**super().build_entry(), "zone": self.zone, "cold_remaining_ms": left_s * 1000}

    async def respond(self, peer: RawPeer, fields: dict[str, str], body: bytes) -> None:
        now = self.site.now()
        evacuated_at = self.site.evacuated_at.get(self.zone, now)
        if now - evacuated_at > BOUND_S:
            late_s = now - evacuated_at - BOUND_S
            self.site.log.violations.append(f"{self.name}: a request {late_s:.2f} s late")
        if now < self.cold_until:
            self.arrivals = [at for at in self.arrivals if now - at < 1.0] + [now]
            if len(self.arrivals) > MAX_COLD_REQUESTS:
                text = f"{self.name}: {len(self.arrivals)} requests in a second while cold"
                self.site.log.violations.append(text)
        await asyncio.sleep(0.005 + self.site.rng.random() * 0.02)
        await peer.send(build_response(b"ok", request_id=fields["X-Request-Id"]))


@dataclass
class ZoneSite(RequestSite):
    """Daemons, engines of three zones, and an operator who evacuates zones, also all at once."""

    engine_count: int = 6
    bad_interval_s: float = 1e6
    good_interval_s: float = 0.02
    bounds: dict[str, float] = field(
        default_factory=lambda: {"contact_s": CONTACT_S, "evacuation_s": BOUND_S}
    )
    evacuated_at: dict[str, float] = field(default_factory=dict)

    def build_engine(self, name: str) -> ZoneEngine:
        return ZoneEngine(name, self)

    def build_configuration(self) -> dict[str, object]:
        configuration = super().build_configuration()
        configuration["services"][0].update(cold_start_s=COLD_S, cold_per_s=COLD_PER_S)
        return configuration

    async def play(self, seconds: float) -> None:
        end = self.now() + seconds
        await asyncio.gather(super().play(seconds), *(self.evacuate(zone, end) for zone in ZONES))

    async def evacuate(self, zone: str, end: float) -> None:
        """Evacuate a zone from time to time; half of the times its engines come back cold."""
        while (pause_s := self.rng.uniform(0.3, 3.0)) < end - self.now():
            await asyncio.sleep(pause_s)
            await self.store.put("evacuations", zone, {})
            self.evacuated_at[zone] = self.now()
            self.store.fault = self.rng.choice(("", "gap"))
            await asyncio.sleep(self.rng.uniform(0.2, 4.0))
            self.store.fault = ""
            if self.rng.random() < 0.5:
                for engine in [one for one in self.engines.values() if one.zone == zone]:
                    await self.store.put("servers", engine.name, engine.build_entry())
            del self.evacuated_at[zone]
            await self.store.put("evacuations", zone, None)

    def check(self) -> None:
        """Engines have checked each request that arrived."""


if __name__ == "__main__":
    sys.exit(main(ZoneSite))
