"""Scenario tests of the scheduler with one permit holder."""

import pytest

from galenarill.scheduling import (
    DecisionKind,
    PermitHolder,
    SchedulingPolicy,
    ZoneScheduler,
)
from galenarill.scheduling import messages as m

ZONE = "az-a"


class Policy(SchedulingPolicy):
    def __init__(self, limit=100):
        self.limit = limit
        self.weights = {}
        self.gone = set()
        self.evacuated = False

    def allotment(self, team):
        return self.limit

    def weight(self, team):
        return self.weights.get(team, 1.0)

    def ineligibility_reason(self, server, pool):
        return "removed" if server in self.gone else ""

    def is_decommissioned(self, server):
        return server in self.gone

    def is_evacuated(self):
        return self.evacuated


class Zone:
    """One scheduler and one holder that exchange messages directly."""

    def __init__(self, policy, servers=2, slots=4):
        self.now = 10.0
        self.policy = policy
        self.holder = PermitHolder(ZONE)
        self.scheduler = ZoneScheduler(
            ZONE, "ep1", frozenset({"e1"}), policy, self.now
        )
        self.running = {}
        self.decisions = []
        self.register()
        self.last_reports = {}
        for _ in range(2):
            for number in range(servers):
                self.report(f"s{number}", slots)
        self.next_request = 0

    def register(self):
        message = self.holder.next_register(ZONE, "ep1", self.now)
        self.scheduler.register("e1", message, self.now)
        self.exchange()

    def report(self, vm, slots, **fields):
        sequence, seen = self.last_reports.get(vm, (0, ""))
        reply = self.scheduler.report(
            m.ServerReport(
                vm,
                ZONE,
                "render",
                "127.0.0.1:1",
                "boot",
                sequence + 1,
                slots,
                60,
                tuple(self.attempts(vm)),
                seen=seen,
                **fields,
            ),
            self.now,
        )
        self.last_reports[vm] = (sequence + 1, reply.stamp)
        self.exchange()

    def attempts(self, vm):
        return [
            start.attempt
            for start in self.running.values()
            if start.permit.server == vm
        ]

    def exchange(self):
        for _ in range(4):
            for _, message in self.holder.take_messages(self.now):
                if isinstance(message, m.Demand):
                    self.scheduler.demand("e1", message, self.now)
                else:
                    self.scheduler.returned("e1", message, self.now)
            if self.scheduler.has_work:
                self.scheduler.allocate(self.now)
            for batch in self.scheduler.take_messages().values():
                for message in batch:
                    self.to_holder(message)
        self.decisions += self.scheduler.take_decisions()
        for start in self.holder.take_starts():
            self.running[start.request] = start

    def to_holder(self, message):
        match message:
            case m.RegisterReply():
                self.holder.handle_register_reply(message, self.now)
            case m.Granted():
                self.holder.add_permits(message, self.now)
            case m.Recall():
                self.holder.recall(message, self.now)

    def submit(self, team, count=1):
        for _ in range(count):
            self.next_request += 1
            request = f"r{self.next_request}"
            start = self.holder.submit(
                request, "render", team, self.now + 60, self.now
            )
            if start is not None:
                self.running[request] = start
        self.exchange()

    def finish(self, count=1, **outcome):
        for request in list(self.running)[:count]:
            start = self.running.pop(request)
            self.holder.finish(start.permit.permit_id, self.now, **outcome)
        self.exchange()

    def wait(self, seconds):
        self.now += seconds
        self.register()
        self.holder.tick(self.now)
        self.scheduler.tick(self.now)
        self.exchange()

    def count(self, team):
        return sum(s.permit.team == team for s in self.running.values())


def test_no_start_after_lowered_limit_until_usage_is_below():
    zone = Zone(Policy(limit=4))
    zone.submit("red", 10)
    assert zone.count("red") == 4
    zone.policy.limit = 2
    zone.scheduler.policy_changed(zone.now)
    zone.exchange()
    zone.finish(2)
    assert zone.count("red") == 2
    zone.finish(1)
    assert zone.count("red") == 2
    zone.finish(2)
    assert zone.count("red") == 2


def test_idle_slots_are_used_by_others_and_reclaimed_by_share():
    policy = Policy()
    policy.weights = {"red": 3.0, "blue": 1.0}
    zone = Zone(policy)
    zone.submit("blue", 40)
    assert zone.count("blue") == 8
    zone.submit("red", 40)
    used = {"red": 0.0, "blue": 0.0}
    for step in range(60):
        zone.wait(0.1)
        zone.finish(4)
        if step >= 20:
            for team in used:
                used[team] += zone.count(team)
        zone.submit("red", 3)
        zone.submit("blue", 3)
        for number in range(2):
            zone.report(f"s{number}", 4)
    share = used["red"] / sum(used.values())
    assert share == pytest.approx(0.75, abs=0.02)


def test_leaving_server_gets_no_new_requests():
    zone = Zone(Policy())
    zone.submit("red", 4)
    zone.report("s0", 4, leaving=True)
    zone.finish(8)
    zone.submit("red", 8)
    assert zone.count("red") == 4
    assert not zone.attempts("s0")


def test_server_with_expired_lease_gets_no_new_requests():
    zone = Zone(Policy())
    zone.wait(1.5)
    zone.report("s1", 4)
    zone.wait(1.8)
    zone.report("s1", 4)
    zone.submit("red", 8)
    assert zone.count("red") == 4
    assert not zone.attempts("s0")


def test_orphaned_attempts_occupy_slots_until_reported_ended():
    zone = Zone(Policy(), servers=1)
    zone.submit("red", 4)
    zone.finish(4, failed=True, running="ep1.1.1~red")
    # The permits were returned, but their attempts may still be running.
    zone.submit("red", 4)
    assert zone.count("red") == 0
    assert zone.scheduler.running("red") == 4
    zone.wait(0.5)
    zone.report("s0", 4)
    zone.report("s0", 4)
    assert zone.count("red") == 4


def test_server_that_fails_all_requests_is_quarantined():
    zone = Zone(Policy())
    for _ in range(12):
        zone.submit("red", 8)
        for request, start in list(zone.running.items()):
            del zone.running[request]
            failed = start.permit.server == "s0"
            zone.holder.finish(start.permit.permit_id, zone.now, failed=failed)
        zone.exchange()
        zone.wait(0.3)
        zone.report("s0", 4)
        zone.report("s1", 4)
    kinds = [d.kind for d in zone.decisions]
    assert DecisionKind.QUARANTINE in kinds
    zone.submit("red", 8)
    assert not zone.attempts("s0")


def test_cancelling_many_requests_sends_one_message():
    zone = Zone(Policy(limit=0))
    zone.submit("red", 5000)
    for number in range(1, 5001):
        assert zone.holder.cancel(f"r{number}")
    sent = zone.holder.take_messages(zone.now)
    assert len(sent) == 1
    assert len(sent[0][1].lines) == 1
    assert zone.holder.waiting == 0


def test_removing_a_vm_ends_its_orphans():
    zone = Zone(Policy(), servers=1)
    zone.submit("red", 4)
    zone.finish(4, failed=True, running="ep1.1.1~red")
    zone.wait(0.5)
    assert zone.scheduler.running("red") == 4
    zone.policy.gone.add("s0")
    zone.scheduler.policy_changed(zone.now)
    zone.exchange()
    assert zone.scheduler.running("red") == 0
    assert not zone.scheduler.servers


def test_drain_waits_for_running_attempts():
    zone = Zone(Policy(), servers=1)
    zone.submit("red", 2)
    zone.report("s0", 4)
    assert not zone.scheduler.is_drained("s0", zone.now)
    zone.finish(2)
    zone.wait(1.2)
    zone.report("s0", 4)
    zone.wait(0.1)
    assert zone.scheduler.is_drained("s0", zone.now)


def test_drain_after_a_takeover_waits_until_attempts_are_known():
    """A new scheduler doesn't know which attempts run on a server."""
    zone = Zone(Policy(), servers=0)
    assert not zone.scheduler.is_drained("s0", zone.now)
    attempt = "ep0.7.1~red"
    seen = ""
    for sequence in range(9, 15):
        running = (attempt,) if sequence < 11 else ()
        report = m.ServerReport(
            "s0",
            ZONE,
            "render",
            "127.0.0.1:1",
            "boot",
            sequence,
            4,
            60,
            running,
            seen=seen,
        )
        seen = zone.scheduler.report(report, zone.now).stamp
        if running:
            assert not zone.scheduler.is_drained("s0", zone.now)
        zone.now += 1.0
    assert zone.scheduler.is_drained("s0", zone.now)


def test_drain_of_a_lost_server_completes():
    zone = Zone(Policy(), servers=1)
    zone.submit("red", 1)
    zone.finish(1, failed=True, running="ep1.1.1~red")
    for _ in range(10):
        zone.wait(1.0)
    assert not zone.scheduler.is_drained("s0", zone.now)
    for _ in range(3):
        zone.wait(1.0)
    assert zone.scheduler.is_drained("s0", zone.now)
