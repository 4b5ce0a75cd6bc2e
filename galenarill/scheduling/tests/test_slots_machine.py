"""Stateful test: slots and allotments are never exceeded under faults.

The faults are crashes, lost messages, network partitions and scheduler
takeovers. The modelled backend servers record which attempts run on them; none
may run more than its slots, and no team more than its allotment. No attempt
starts in an evacuated zone once the sessions of all holders that missed its
recall have expired.
"""

import collections
import itertools
import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from galenarill.scheduling import (
    SESSION_SECONDS,
    PermitHolder,
    SchedulingPolicy,
    ZoneScheduler,
)
from galenarill.scheduling import messages as m

ZONE = "az-a"
HOLDERS = ("e1", "e2", "e3")
SERVERS = ("s1", "s2")
TEAMS = ("red", "blue", "green")
POOL = "render"
SLOTS = 2
STEP_SECONDS = 0.05
# Maximum number of steps until a started request reaches its backend server.
MAX_DELIVERY_STEPS = 3


class Policy(SchedulingPolicy):
    def __init__(self):
        self.allotments = {"red": 1, "blue": 2, "green": 4}
        self.refused = set()
        self.evacuated = False

    def allotment(self, team):
        return self.allotments[team]

    def weight(self, team):
        return 1.0

    def ineligibility_reason(self, server, pool):
        return "drained" if server in self.refused else ""

    def is_decommissioned(self, server):
        return False

    def is_evacuated(self):
        return self.evacuated


class Server:
    """A modelled backend server that records its running attempts."""

    def __init__(self, vm):
        self.vm = vm
        self.starts = 0
        self.restart()

    def restart(self):
        self.starts += 1
        self.running = {}
        self.sequence = itertools.count(1)
        self.report = None
        self.seen = ""
        self.next_report_at = 0.0


class SlotsMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.now = 50.0
        self.policy = Policy()
        self.evacuated_at = math.inf
        self.epochs = itertools.count(1)
        self.ids = itertools.count(1)
        self.holders = {vm: PermitHolder(ZONE) for vm in HOLDERS}
        self.fresh_until = dict.fromkeys(HOLDERS, self.now + 5.0)
        self.register_at = dict.fromkeys(HOLDERS, 0.0)
        self.servers = {vm: Server(vm) for vm in SERVERS}
        self.to_scheduler = collections.defaultdict(collections.deque)
        self.to_holder = collections.defaultdict(collections.deque)
        self.partitioned = set()
        self.in_flight = []
        self.attempts = {}
        self.generates_load = True
        self.scheduler = None
        self.new_scheduler()
        self.advance(4.0)

    def new_scheduler(self):
        epoch = f"ep{next(self.epochs)}"
        self.scheduler = ZoneScheduler(
            ZONE, epoch, frozenset(HOLDERS), self.policy, self.now
        )
        self.to_scheduler.clear()
        self.to_holder.clear()

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.step()

    def step(self):
        if self.generates_load:
            self.generate_load()
        for vm, holder in self.holders.items():
            holder.tick(self.now)
            if self.scheduler and vm not in self.partitioned:
                self.exchange(vm, holder)
            self.collect_starts(vm, holder)
        if self.scheduler:
            self.scheduler.tick(self.now)
            self.exchange_scheduler_output()
        self.deliver_starts()
        for server in self.servers.values():
            self.exchange_reports(server)

    def generate_load(self):
        """Submit requests to keep all slots in demand; end random attempts."""
        vm = self.rng.choice(HOLDERS)
        team = self.rng.choice(TEAMS)
        if self.holders[vm].waiting < 4:
            self.submit_request(vm, team, 9.0)
        for attempt in list(self.attempts):
            if self.rng.random() < 0.05:
                self.end(attempt)

    def end(self, attempt):
        """End an attempt, with a response if its holder still waits for it."""
        vm, holder, start = self.attempts.pop(attempt)
        self.servers[start.permit.server].running.pop(attempt, None)
        if holder is not None and self.holders[vm] is holder:
            holder.finish(start.permit.permit_id, self.now)

    def exchange(self, vm, holder):
        if self.now >= self.register_at[vm]:
            self.register_at[vm] = self.now + 0.5
            message = holder.next_register(
                ZONE,
                self.scheduler.epoch,
                self.now,
                fresh=self.now < self.fresh_until[vm],
            )
            self.to_scheduler[vm].append(message)
        for _, message in holder.take_messages(self.now):
            self.to_scheduler[vm].append(message)
        # Deliver a random part of each queue in this step.
        for _ in range(self.rng.randint(0, len(self.to_scheduler[vm]))):
            message = self.to_scheduler[vm].popleft()
            match message:
                case m.Register():
                    self.scheduler.register(vm, message, self.now)
                case m.Demand():
                    self.scheduler.demand(vm, message, self.now)
                case m.Returned():
                    self.scheduler.returned(vm, message, self.now)
        self.exchange_scheduler_output()
        for _ in range(self.rng.randint(0, len(self.to_holder[vm]))):
            message = self.to_holder[vm].popleft()
            match message:
                case m.RegisterReply():
                    holder.handle_register_reply(message, self.now)
                case m.Granted():
                    holder.add_permits(message, self.now)
                case m.Recall():
                    holder.recall(message, self.now)

    def exchange_scheduler_output(self):
        self.scheduler.allocate(self.now)
        for vm, batch in self.scheduler.take_messages().items():
            self.to_holder[vm].extend(batch)
        self.scheduler.take_decisions()

    def collect_starts(self, vm, holder):
        for start in holder.take_starts():
            self.record_start(vm, holder, start)
        holder.take_expired()

    def record_start(self, vm, holder, start):
        assert self.now < self.evacuated_at + SESSION_SECONDS, "evacuated"
        steps = self.rng.randint(0, MAX_DELIVERY_STEPS)
        self.in_flight.append((steps, vm, holder, start))

    def submit_request(self, vm, team, wait):
        holder = self.holders[vm]
        start = holder.submit(
            f"r{next(self.ids)}", POOL, team, self.now + wait, self.now
        )
        if start is not None:
            self.record_start(vm, holder, start)

    def deliver_starts(self):
        in_flight, self.in_flight = self.in_flight, []
        for steps, vm, holder, start in in_flight:
            if steps:
                self.in_flight.append((steps - 1, vm, holder, start))
                continue
            server = self.servers[start.permit.server]
            server.running[start.attempt] = start.permit.team
            self.attempts[start.attempt] = (vm, holder, start)
            self.check()

    def check(self):
        for server in self.servers.values():
            assert len(server.running) <= SLOTS, f"{server.vm} overcommitted"
        by_team = collections.Counter(
            team for s in self.servers.values() for team in s.running.values()
        )
        for team, count in by_team.items():
            limit = self.policy.allotments[team]
            assert count <= limit, f"{team} runs {count} of {limit}"

    def exchange_reports(self, server):
        """Make a report, and deliver or lose it in a later step."""
        if server.report is None:
            if self.now >= server.next_report_at:
                server.report = self.make_report(server)
            return
        if not self.scheduler or self.rng.random() < 0.4:
            return
        report = server.report
        server.report = None
        server.next_report_at = self.now + 0.3
        loss_draw = self.rng.random()
        if loss_draw < 0.1:
            return
        reply = self.scheduler.report(report, self.now)
        if loss_draw > 0.2:
            server.seen = reply.stamp

    def make_report(self, server):
        return m.ServerReport(
            server.vm,
            ZONE,
            POOL,
            "127.0.0.1:1",
            str(server.starts),
            next(server.sequence),
            SLOTS,
            60,
            tuple(server.running),
            False,
            server.seen,
        )

    @rule(
        vm=st.sampled_from(HOLDERS),
        team=st.sampled_from(TEAMS),
        count=st.integers(1, 6),
        wait=st.sampled_from([0.5, 5.0, 60.0]),
    )
    def submit(self, vm, team, count, wait):
        for _ in range(count):
            self.submit_request(vm, team, wait)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.advance(seconds)

    @rule(count=st.integers(1, 6), data=st.data())
    def finish(self, count, data):
        for _ in range(min(count, len(self.attempts))):
            self.end(data.draw(st.sampled_from(sorted(self.attempts))))

    @rule(data=st.data())
    def give_up(self, data):
        """A holder closes its connection, but the attempt keeps running."""
        if not self.attempts:
            return
        attempt = data.draw(st.sampled_from(sorted(self.attempts)))
        vm, holder, start = self.attempts[attempt]
        if holder is not None and self.holders[vm] is holder:
            holder.finish(
                start.permit.permit_id, self.now, failed=True, running=attempt
            )
            # No holder waits for this attempt any longer.
            self.attempts[attempt] = (vm, None, start)

    @rule(vm=st.sampled_from(HOLDERS))
    def crash_holder(self, vm):
        """Running attempts continue, and starts in flight are delivered."""
        self.holders[vm] = PermitHolder(ZONE)
        self.fresh_until[vm] = self.now + 5.0
        self.register_at[vm] = 0.0
        self.to_scheduler[vm].clear()
        self.to_holder[vm].clear()

    @rule(vm=st.sampled_from(HOLDERS))
    def break_link(self, vm):
        self.to_scheduler[vm].clear()
        self.to_holder[vm].clear()
        self.holders[vm].forget_session(ZONE)
        self.register_at[vm] = 0.0

    @rule(vm=st.sampled_from(HOLDERS))
    def cut_holder(self, vm):
        self.break_link(vm)
        self.partitioned.add(vm)

    @rule()
    def heal(self):
        self.partitioned.clear()

    @rule()
    def take_over(self):
        self.scheduler = None
        self.to_scheduler.clear()
        self.to_holder.clear()
        self.advance(0.3)
        self.new_scheduler()

    @rule(vm=st.sampled_from(HOLDERS), quiet=st.sampled_from([0.1, 0.5, 2.5]))
    def take_over_from_idle(self, vm, quiet):
        """A partitioned holder has an idle permit during a takeover."""
        self.heal()
        self.generates_load = False
        self.advance(2.0)
        for attempt in list(self.attempts):
            self.end(attempt)
        self.advance(1.5)
        self.submit_many(vm, 1)
        self.advance(0.4)
        for attempt in list(self.attempts):
            self.end(attempt)
        self.cut_holder(vm)
        self.take_over()
        self.submit_many(next(h for h in HOLDERS if h != vm), 8)
        self.advance(quiet)
        self.submit_many(vm, 8)
        self.advance(0.5)
        self.generates_load = True

    def submit_many(self, vm, count):
        for _ in range(count):
            self.submit_request(vm, "green", 20.0)

    @rule(vm=st.sampled_from(SERVERS))
    def restart_server(self, vm):
        server = self.servers[vm]
        for attempt in list(server.running):
            known = self.attempts.pop(attempt, None)
            if known is None:
                continue
            holder_vm, holder, start = known
            if holder is not None and self.holders[holder_vm] is holder:
                holder.finish(
                    start.permit.permit_id,
                    self.now,
                    failed=True,
                    running=attempt,
                )
        server.restart()

    @rule(team=st.sampled_from(TEAMS), allotment=st.integers(1, 4))
    def raise_limit(self, team, allotment):
        """Raise an allotment; `test_scheduler.py` covers lowering."""
        if allotment > self.policy.allotments[team]:
            self.policy.allotments[team] = allotment
            self.scheduler.policy_changed(self.now)

    @rule(vm=st.sampled_from(SERVERS))
    def toggle_drain(self, vm):
        self.policy.refused ^= {vm}
        self.scheduler.policy_changed(self.now)

    @rule()
    def toggle_evacuation(self):
        self.policy.evacuated = not self.policy.evacuated
        self.evacuated_at = self.now if self.policy.evacuated else math.inf
        self.scheduler.policy_changed(self.now)

    def teardown(self):
        """Check that every slot can be used again after the faults."""
        if not getattr(self, "scheduler", None):
            return
        self.generates_load = False
        self.partitioned.clear()
        self.policy.refused.clear()
        if self.policy.evacuated:
            self.toggle_evacuation()
        for attempt in list(self.attempts):
            self.end(attempt)
        self.advance(SESSION_SECONDS + 4.0)
        self.finish_waiting_requests()
        for team in TEAMS:
            assert self.scheduler.running(team) <= self.held_permits(team)

    def held_permits(self, team):
        return sum(
            record.permit.team == team
            for holder in self.holders.values()
            for record in holder.permits.values()
        )

    def finish_waiting_requests(self):
        """Run the waiting requests, each for half a second."""
        for _ in range(60):
            for attempt in list(self.attempts):
                self.end(attempt)
            self.advance(0.5)
        assert not any(h.waiting for h in self.holders.values()), "work waits"


TestSlots = SlotsMachine.TestCase
TestSlots.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
