"""Scenario tests of the evacuation of a scheduler's zone.

The load is uncontended: requests follow one another on the same permits, which
nothing but the evacuation reclaims. `test_slots_machine.py` covers contention
and faults.
"""

import pytest

from galenarill.scheduling import PermitHolder, ZoneScheduler
from galenarill.scheduling import messages as m
from galenarill.scheduling.tests.test_scheduler import ZONE, Policy, Zone


def _zone_with_permits(busy):
    """Return a zone whose holder has three permits, `busy` of them in use."""
    zone = Zone(Policy())
    zone.submit("red", 3)
    zone.finish(3 - busy)
    assert len(zone.holder.permits) == 3
    return zone


def _evacuate(zone, evacuated=True):
    zone.policy.evacuated = evacuated
    zone.scheduler.policy_changed(zone.now)


@pytest.mark.parametrize("is_noticed_by_tick", [False, True])
def test_unused_permits_are_reclaimed_and_busy_ones_serve_no_other(
    is_noticed_by_tick,
):
    """A permit that is reused without pause would never be returned.

    The change is noticed by a tick if it was applied while the lease was in
    doubt.
    """
    zone = _zone_with_permits(busy=1)
    if is_noticed_by_tick:
        zone.policy.evacuated = True
        zone.scheduler.tick(zone.now)
    else:
        _evacuate(zone)
    zone.exchange()
    assert zone.scheduler.running("red") == len(zone.holder.permits) == 1
    zone.submit("red", 2)
    assert zone.count("red") == 1
    zone.finish()
    assert not zone.running and not zone.scheduler.running("red")
    assert not zone.scheduler.blocked_demand(zone.now)
    _evacuate(zone, False)
    zone.exchange()
    assert zone.count("red") == 2


def test_evacuation_between_two_others_reclaims_again():
    """A second order right after a restoration must not pass for the first."""
    zone = _zone_with_permits(busy=0)
    _evacuate(zone)
    zone.exchange()
    # The restoration is noticed only when permits are granted.
    zone.policy.evacuated = False
    zone.submit("red")
    zone.finish()
    _evacuate(zone)
    zone.exchange()
    assert not zone.holder.permits


@pytest.mark.parametrize("is_takeover", [False, True])
def test_new_session_reclaims_permits_whose_recall_was_lost(is_takeover):
    """A holder that missed the recall would reuse its permits for good."""
    zone = _zone_with_permits(busy=1)
    _evacuate(zone)
    zone.scheduler.take_messages()
    if is_takeover:
        zone.scheduler = ZoneScheduler(
            ZONE, "ep2", frozenset({"e1"}), zone.policy, zone.now
        )
        zone.scheduler.tick(zone.now)
    zone.holder.forget_session(ZONE)
    # Without a valid session the requests wait for the reply to `Register`.
    zone.now += 3.0
    zone.submit("red", 2)
    epoch = zone.scheduler.epoch
    message = zone.holder.next_register(ZONE, epoch, zone.now)
    zone.scheduler.register("e1", message, zone.now)
    zone.exchange()
    assert zone.count("red") == 1
    zone.finish()
    assert not zone.running and not zone.holder.permits
    assert not zone.scheduler.running("red")


class _TwoZones:
    """A holder of az-a with sessions in az-a and az-b."""

    def __init__(self):
        self.now = 10.0
        self.holder = PermitHolder("az-a")
        for zone in ("az-a", "az-b"):
            sequence = self.holder.next_register(zone, "ep", self.now).sequence
            reply = m.RegisterReply(zone, "ep", sequence)
            self.holder.handle_register_reply(reply, self.now)

    def demand(self):
        return {
            zone: line.waiting
            for zone, message in self.holder.take_messages(self.now)
            if isinstance(message, m.Demand)
            for line in message.lines
        }

    def grant(self, zone):
        permit = m.Permit(f"{zone}.1", "s1", "i", "h:1", "render", "red")
        message = m.Granted(zone, "ep", (permit,))
        self.holder.add_permits(message, self.now)

    def submit(self, request):
        return self.holder.submit(request, "render", "red", 60.0, self.now)


def test_demand_moves_to_the_other_zones_and_back():
    """Demand left in an evacuated zone waits there until its deadline."""
    zones = _TwoZones()
    zones.submit("r1")
    assert zones.demand() == {"az-a": 1}
    zones.holder.set_evacuated_zones(frozenset({"az-a"}))
    assert zones.demand() == {"az-a": 0, "az-b": 1}
    zones.holder.set_evacuated_zones(frozenset())
    assert zones.demand() == {"az-a": 1, "az-b": 0}


def test_holder_uses_no_permit_of_a_scheduler_that_lags_behind():
    """A scheduler that has not read the order still grants permits."""
    zones = _TwoZones()
    zones.grant("az-a")
    zones.holder.set_evacuated_zones(frozenset({"az-a"}))
    assert not zones.holder.permits
    zones.submit("r1")
    zones.grant("az-a")
    assert not zones.holder.take_starts() and not zones.holder.permits
    zones.grant("az-b")
    assert [s.permit.permit_id for s in zones.holder.take_starts()] == [
        "az-b.1"
    ]
