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
    # An evacuated zone must not take allotment from the others.
    zone.policy.limit = 0
    assert not zone.scheduler.blocked_demand(zone.now)
    zone.policy.limit = 100
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


def test_holder_follows_the_order_before_its_scheduler():
    """A scheduler that has not read the order still grants permits.

    Demand left with it would wait there until its deadline.
    """
    now = 10.0
    holder = PermitHolder("az-a")
    for zone in ("az-a", "az-b"):
        sequence = holder.next_register(zone, "ep", now).sequence
        holder.handle_register_reply(m.RegisterReply(zone, "ep", sequence), now)

    def demand():
        return {
            zone: line.waiting
            for zone, message in holder.take_messages(now)
            if isinstance(message, m.Demand)
            for line in message.lines
        }

    permits = [
        m.Permit(f"p{n}", "s1", "i", "h:1", "render", "red") for n in range(2)
    ]
    holder.add_permits(m.Granted("az-a", "ep", (permits[0],)), now)
    holder.set_evacuated_zones(frozenset({"az-a"}))
    assert not holder.permits
    holder.submit("r1", "render", "red", 60.0, now)
    assert demand()["az-b"] == 1
    holder.add_permits(m.Granted("az-a", "ep", (permits[1],)), now)
    assert not holder.take_starts() and not holder.permits
    holder.set_evacuated_zones(frozenset())
    assert demand() == {"az-a": 1, "az-b": 0}
    holder.set_evacuated_zones(frozenset({"az-a"}))
    assert demand() == {"az-a": 0, "az-b": 1}


def test_a_busy_permit_of_an_evacuated_zone_serves_no_other_request():
    """Guards against starts until the recall of the scheduler arrives."""
    now = 10.0
    holder = PermitHolder("az-a")
    sequence = holder.next_register("az-a", "ep", now).sequence
    holder.handle_register_reply(m.RegisterReply("az-a", "ep", sequence), now)
    holder.submit("r1", "render", "red", 60.0, now)
    permit = m.Permit("p1", "s1", "i", "h:1", "render", "red")
    holder.add_permits(m.Granted("az-a", "ep", (permit,)), now)
    assert [start.request for start in holder.take_starts()] == ["r1"]
    holder.set_evacuated_zones(frozenset({"az-a"}))
    holder.submit("r2", "render", "red", 60.0, now)
    holder.finish("p1", now)
    assert not holder.take_starts()
    assert holder.take_returned_ids() == ["p1"]
