"""Plays calls of three zones against endpoint tables that hear of each other after some ms."""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict, deque
from itertools import count

from magnoliarouter.core.spillover import SpilloverPolicy
from magnoliarouter.core.work import CallWork
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.routes import ExpertProfile, ModelProfile

LAG_S = 0.004
# Half of a target latency of half a second: a call that starts later is late.
START_LIMIT_S = 0.25
RETRY_S = 0.02
# Reserve and largest projected rise of a zone.
KEPT_SHARE = SpilloverPolicy().reserve_share + SpilloverPolicy().max_rise
WORK = CallWork(800, 95)


def build_profile(**changes):
    values = {
        "slots": 5,
        "step_s": 0.00455,
        "per_request_s": 0.00109,
        "per_context_s": 0.0,
        "prompt_tokens_per_s": 61_400.0,
        "steps_per_event": 5,
        "experts": ExpertProfile(12, 144, 3, 2, 0.02),
    }
    return ModelProfile(**{**values, **changes})


class ZonePlay:
    """Zones a, b and c with a number of endpoints of five slots each, and daemons in turn.

    Attributes
    ----------
    asked, in_time, left : Counter
        Calls, those that started in time, and those that left, by zone of their caller.
    beyond_slots : int
        Calls that were sent to an endpoint whose slots were all taken, and waited there.
    peak : dict of str to int
        Largest number of requests at the endpoints of a zone.
    waited_in_vain : int
        Times that a call waited while a zone had more free places than any reserve and projection
        keeps.
    """

    def __init__(
        self, seed=1, daemons=9, endpoints=8, keeps_zone=True, profile=None, service_s=1.0
    ):
        self.rng, self.now, self.service_s = random.Random(seed), 1000.0, service_s
        profile = profile or build_profile()
        self.tables, self.cut = [], set()
        self.limit = 5 * endpoints
        for number in range(daemons):
            table = EndpointTable("abc"[number % 3], random.Random(seed * 100 + number))
            table.overflow.is_enabled = keeps_zone
            table.find_profile = lambda service: profile
            table.is_unavailable = lambda endpoint: endpoint.zone in self.cut
            for zone in "abc":
                for index in range(endpoints):
                    table.put(Endpoint(f"{zone}{index}", "app", f"{zone}{index}:1", zone, 5))
            self.tables.append(table)
        self.asked, self.in_time, self.left = Counter(), Counter(), Counter()
        self.running, self.waiting = Counter(), defaultdict(deque)
        self.requests, self.peak = Counter(), defaultdict(int)
        self.waited_in_vain = self.beyond_slots = 0
        self._events, self._numbers = [], count()

    def at(self, when, action, *arguments):
        heapq.heappush(self._events, (when, next(self._numbers), action, arguments))

    def offer(self, zone, start, end, share):
        """Offer calls to a zone at a multiple of what its places serve."""
        rate, now = share * self.limit / self.service_s, start
        own = [table for table in self.tables if table.zone == zone]
        while (now := now + self.rng.expovariate(rate)) < end:
            self.at(self.now + now, self.ask, self.rng.choice(own), self.now + now)

    def occupy(self, zone, share, until):
        """Take a share of a zone's places until a moment, as a daemon of its own would."""
        loads = {f"{zone}{index}": round(5 * share) for index in range(self.limit // 5)}
        self.requests[zone] += sum(loads.values())
        for number in range(int((until - self.now) / 0.5) + 1):
            self.at(self.now + 0.5 * number, self._tell, None, f"{zone}-own", dict(loads))
        self.at(until, self._free, zone, sum(loads.values()))
        self.at(until, self._tell, None, f"{zone}-own", {})

    def _free(self, zone, requests):
        self.requests[zone] -= requests

    def run(self, seconds):
        """Play what happens in the next seconds, and renew the loads of each daemon."""
        for number in range(int(seconds / 0.5)):
            for table in self.tables:
                self.at(self.now + 0.5 * number, self.send_load, table)
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = end

    def ask(self, table, since):
        if since == self.now:
            self.asked[table.zone] += 1
        endpoint = table.choose("app", set(), self.now, WORK)
        if endpoint is None:
            room = max(self.limit - self.requests[z] for z in "abc" if z not in self.cut)
            self.waited_in_vain += room > KEPT_SHARE * self.limit + len(self.tables) * 2 / 3
            if self.now + RETRY_S <= since + START_LIMIT_S:
                self.at(self.now + RETRY_S, self.ask, table, since)
            return
        table.start_request(endpoint.identity, WORK)
        self.send_load(table)
        self.left[table.zone] += endpoint.zone != table.zone
        zone = endpoint.zone
        self.requests[zone] += 1
        self.peak[zone] = max(self.peak[zone], self.requests[zone])
        queue = self.waiting[endpoint.identity]
        queue.append((table, endpoint, since))
        if self.running[endpoint.identity] < endpoint.slots:
            self.start(endpoint.identity)
        else:
            self.beyond_slots += 1

    def start(self, identity):
        table, endpoint, since = self.waiting[identity].popleft()
        self.running[identity] += 1
        self.in_time[table.zone] += self.now - since <= START_LIMIT_S
        end = self.now + self.service_s * self.rng.uniform(0.5, 1.5)
        self.at(end, self.finish, table, endpoint)

    def finish(self, table, endpoint):
        table.finish_request(endpoint.identity, WORK)
        self.requests[endpoint.zone] -= 1
        self.running[endpoint.identity] -= 1
        if self.waiting[endpoint.identity]:
            self.start(endpoint.identity)
        self.send_load(table)

    def send_load(self, table):
        name = str(self.tables.index(table))
        self.at(self.now + LAG_S, self._tell, table, name, dict(table.own_requests))

    def _tell(self, sender, name, loads):
        for table in self.tables:
            if table is not sender:
                table.apply_peer_load(name, loads, self.now)

    def share_in_time(self, zone):
        return self.in_time[zone] / self.asked[zone]

    def share_left(self):
        return sum(self.left.values()) / sum(self.asked.values())
