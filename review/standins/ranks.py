"""Stand-in of a group of ranks: model engines that make all passes together, by one expert map.

What a rank answers to an order, a report and a read of counts follows PROTOCOL.md ("Requests").
"""

from __future__ import annotations

import asyncio
import json
import random

import kit

REPORT_LAG_S = 0.2


class Group:
    """Ranks that begin each pass together; idle while no stream runs."""

    def __init__(self, record, name, sets, experts, places, spare, expert_s, pass_s):
        self.record, self.name = record, name
        self.sets, self.experts, self.places, self.spare = sets, experts, places, spare
        self.expert_s, self.pass_s = expert_s, pass_s
        self.ranks = []
        self.epoch, self.step, self.pass_began = 1, 0, asyncio.Event()
        self.streams = 0
        self.work = asyncio.Event()
        self.free = asyncio.Event()
        self.liked = 0
        self.split = []

    def first_map(self, rank):
        """Return the experts of a rank in map 0, which deals them in turn, by set."""
        return [[one for one in range(self.experts) if one % len(self.ranks) == rank] for _ in range(self.sets)]

    async def run(self):
        while True:
            if not self.streams:
                self.work.clear()
                await self.work.wait()
            await asyncio.sleep(self.pass_s)
            while any(rank.held == self.step + 1 for rank in self.ranks):
                self.free.clear()
                await self.free.wait()
            self.begin_pass()

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] <= self.step:
                rank.map, rank.armed = rank.prepared[:2], None
                self.record.write(f"pass {self.step}: rank {rank.rank} switches to map {rank.map[0]}")
                rank.remember()
        if len({rank.map[0] for rank in self.ranks}) > 1:
            maps = {rank.rank: rank.map[0] for rank in self.ranks}
            if not self.split or self.split[-1][1] != maps:
                self.record.write(f"pass {self.step} begins with the maps {maps}")
            self.split.append((self.step, maps))
        for rank in self.ranks:
            rank.remember()
        self.pass_began.set()
        self.pass_began = asyncio.Event()


class Rank(kit.Engine):
    """Model engine that is a rank of a group."""

    def __init__(self, identity, service, zone, record, group, seed=1, **options):
        super().__init__(identity, service, zone, record, **options)
        self.group, self.rank = group, len(group.ranks)
        group.ranks.append(self)
        self.held = self.armed = self.prepared = None
        self.fence, self.orders, self.highest = 0, 0, 0
        self.map = None
        self.events = 12
        self.random = random.Random(seed * 100 + self.rank)
        self.counts = [0] * (group.sets * group.experts)
        # Share of the orders that get no answer and are carried out late.
        self.late_share = 0.0
        self.on_order = lambda rank, order, late: None
        self.snapshots = []

    def begin(self):
        self.map = (0, self.group.first_map(self.rank))
        self.remember()

    def remember(self):
        now = self.record.now()
        prepared = self.prepared[0] if self.prepared and self.prepared[2] <= now else None
        state = {
            "step": self.group.step, "map": self.map[0], "prepared": prepared,
            "armed": None if self.armed is None else {"version": self.armed[0], "step": self.armed[1]},
            "held": self.held, "sequence": self.orders,
        }
        self.snapshots.append((now, state))
        del self.snapshots[:-400]

    def report(self):
        """Return the rank's state as of some hundred ms ago."""
        self.remember()
        until = self.record.now() - REPORT_LAG_S
        state = next((state for at, state in reversed(self.snapshots) if at <= until), self.snapshots[0][1])
        group = {"name": self.group.name, "epoch": self.group.epoch, "rank": self.rank, "state": "open"}
        return {
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "waiting": 0,
            "running": self.group.streams, "kv_used": 0, "kv_total": 247000, "handles": 0, "pace": 1.0,
            "born": self.born, "group": group, "size": len(self.group.ranks),
            **{name: value for name, value in state.items() if value is not None},
        }

    def carry_out(self, order):
        """Carry out an order, and return the status of its response."""
        group = self.group
        if order.get("epoch", group.epoch) != group.epoch:
            return 409
        fence = order.get("fencing_token", self.fence)
        if fence < self.fence:
            return 412
        self.fence = fence
        status = self.apply(order)
        if status == 202:
            self.orders += 1
        self.remember()
        if status == 202 and "step" in order:
            group.free.set()
        return status

    def apply(self, order):
        group, version, step = self.group, order.get("version"), order.get("step")
        now = self.record.now()
        match order["operation"]:
            case "prepare":
                if self.prepared and self.prepared[0] == version:
                    return 200
                lists = [sets[self.rank] for sets in order["map"]]
                new = [len(set(lists[index]) - set(self.map[1][index])) for index in range(group.sets)]
                if version <= self.highest or self.armed is not None or max(new) > group.spare:
                    return 409
                self.highest = version
                self.prepared = (version, lists, now + sum(new) * group.expert_s)
                return 202
            case "arm":
                if self.armed == (version, step):
                    return 200
                ready = self.prepared and self.prepared[0] == version and self.prepared[2] <= now
                if not ready or step <= group.step or self.map[0] == version:
                    return 409
                self.armed = (version, step)
                return 202
            case "hold":
                if self.held == step:
                    return 200
                if step <= group.step or self.held is not None:
                    return 409
                self.held = step
                return 202
            case "go":
                if self.held != step:
                    return 409
                self.held = None
                return 202
        return 400

    async def take_order(self, order, writer):
        late = self.random.random() < self.late_share
        shown = {name: value for name, value in order.items() if name != "map"}
        self.on_order(self, order, late)
        if not late:
            status = self.carry_out(order)
            self.record.write(f"order at rank {self.rank}: {shown} -> {status}")
            writer.write(kit.encode_response(status, [("Content-Type", "application/json")], b"{}"))
            return
        seconds = self.random.uniform(2.0, 12.0)
        self.record.write(f"order at rank {self.rank}: {shown} -> no answer, done in {seconds:.1f} s")

        def carry_out_late():
            status = self.carry_out(order)
            self.record.write(f"late order at rank {self.rank}: {shown} -> {status}")

        asyncio.get_running_loop().call_later(seconds, carry_out_late)
        await asyncio.sleep(30.0)

    async def serve(self, reader, writer):
        while (head := await kit.read_head(reader)) is not None:
            line, fields = head
            request_id = fields.get("x-request-id", "")
            body = await kit.read_body(reader, fields)
            method, target, _ = line.split(" ", 2)
            json_type = [("Content-Type", "application/json")]
            if target.startswith("/v1/report"):
                writer.write(kit.encode_response(200, json_type, json.dumps(self.report()).encode()))
            elif target.startswith("/v1/picked"):
                answer = {"step": self.group.step, "epoch": self.group.epoch}
                if "lists" in target:
                    answer["map"] = {"version": self.map[0], "experts": self.map[1]}
                else:
                    answer["counts"] = self.counts
                writer.write(kit.encode_response(200, json_type, json.dumps(answer).encode()))
            elif target.startswith("/v1/order"):
                await self.take_order(json.loads(body), writer)
            elif fields.get("x-expect-instance") not in (None, self.identity):
                writer.write(kit.encode_response(421, [("X-Instance-Id", self.identity), ("X-Request-Id", request_id)]))
            else:
                await self.stream(request_id, fields, writer)
            await writer.drain()

    def choose_experts(self):
        """Count the experts that one pass of a stream chose: a few are liked, and those change."""
        group = self.group
        for index in range(group.sets):
            weights = [12.0 if one in (group.liked, (group.liked + 2) % group.experts) else 1.0 for one in range(group.experts)]
            for expert in self.random.choices(range(group.experts), weights, k=400):
                self.counts[index * group.experts + expert] += 1

    async def stream(self, request_id, fields, writer):
        group, after = self.group, int(fields.get("last-event-id") or 0)
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}", f"X-Server-Stamp: {self.identity}.{request_id}", "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "Keep-Alive: timeout=5"]
        self.record.write(f"run {request_id} at rank {self.rank}, after event {after}")
        group.streams += 1
        group.work.set()
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(after + 1, self.events + 1):
                await group.pass_began.wait()
                self.choose_experts()
                event = f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            group.streams -= 1
