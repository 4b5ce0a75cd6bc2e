"""Machines move to pools with work, and idle ones are switched off."""

from galenarill.pools import (
    Move,
    PoolLoad,
    PoolMachine,
    divide_machines,
    plan_moves,
)
from galenarill.routing import Resources

CAPACITY = Resources(10, 100)


def member(name, pool, idle=9.0, **options):
    options.setdefault("run_count", 0 if idle else 1)
    return PoolMachine(
        name, pool, "a", CAPACITY, options.pop("is_up", True), idle, **options
    )


def moves_of(*arguments):
    return plan_moves(*arguments).moves


def loads(**running):
    made = {
        pool: PoolLoad(pool, running=Resources(cpu), soft_minimum=1)
        for pool, cpu in running.items()
    }
    made["spare"] = PoolLoad("spare", is_spare=True)
    return made


def test_a_pool_in_need_takes_spare_machines_first():
    members = [member("a1", "a", 0.0), member("s1", "spare")]
    members += [member("b1", "b"), member("b2", "b")]
    moves = moves_of(loads(a=15, b=0), members)
    assert moves[0] == Move("s1", "a")


def test_a_pool_in_need_then_takes_idle_machines_of_others():
    members = [member("a1", "a", 0.0), member("b1", "b"), member("b2", "b")]
    assert Move("b1", "a") in moves_of(loads(a=15, b=0), members)


def test_a_pool_in_need_borrows_standby_machines_of_others():
    """A pool borrows for its need, not its `soft_minimum`.

    Others keep `hard_minimum`.
    """
    members = [member("a1", "a", 0.0)]
    members += [member(f"b{n}", "b") for n in range(3)]
    pools = loads(a=35, b=0)
    pools["b"].soft_minimum, pools["b"].hard_minimum = 3, 1
    moves = moves_of(pools, members)
    assert moves == [Move("b0", "a"), Move("b1", "a")]
    pools = loads(a=5, b=0)
    pools["a"].soft_minimum = pools["b"].soft_minimum = 3
    assert not moves_of(pools, members)


def test_no_pool_gives_machines_it_needs_or_needed_recently():
    members = [member("a1", "a", 0.0), member("b1", "b")]
    assert not moves_of(loads(a=15, b=0), members)
    pools = loads(a=15, b=0)
    pools["b"].recently_needed = 2
    members.append(member("b2", "b"))
    assert not moves_of(pools, members)


def test_busy_or_unmovable_machines_stay():
    members = [
        member("a1", "a", 0.0),
        member("b1", "b", 0.0),
        member("b2", "b", 0.0),
        member("s1", "spare", is_up=False),
    ]
    assert not moves_of(loads(a=15, b=0), members)


def test_a_surge_adds_machines_for_a_load_peak():
    members = [member("a1", "a", 0.0)]
    members += [member(f"s{n}", "spare") for n in range(9)]
    pools = loads(a=5)
    pools["a"].surge = 4
    assert len(moves_of(pools, members)) == 3


def test_idle_machines_are_switched_off_down_to_the_soft_minimum():
    members = [member(f"a{n}", "a") for n in range(4)]
    moves = moves_of(loads(a=0), members)
    assert len(moves) == 3
    assert {move.pool for move in moves} == {"spare"}


def test_a_kind_that_a_pool_refuses_is_not_sent_there():
    members = [member("a1", "a", 0.0), member("s1", "spare")]
    assert not moves_of(loads(a=15), members, {("a", "a")})


def test_busy_machines_of_a_pool_above_its_share_are_released():
    """Load: the turn of `b` begins while the backlog of `a` is being done.

    Seen on a calm day of the large site at its small size: one pool kept 45 of
    55 machines for 16 s, and others with more tasks waiting kept 4.
    """
    members = [member(f"a{n}", "a", 0.0, run_count=n + 1) for n in range(8)]
    members.append(member("b1", "b", 0.0))
    pools = loads(a=80, b=10)
    pools["b"].waiting = Resources(60)
    plan = plan_moves(pools, members)
    # Needs are 9 and 8 machines of 9: the shares are 5 and 4.
    assert not plan.moves
    assert plan.releasing == {"a0", "a1", "a2"}
    # The same machines stay released while their runs end.
    members[3] = member("a3", "a", 0.0, run_count=1)
    again = plan_moves(pools, members, frozenset(), plan.releasing)
    assert again.releasing == plan.releasing


def test_machines_with_lasting_tasks_are_not_released():
    members = [
        member(f"a{n}", "a", 0.0, has_lasting_run=n > 0) for n in range(8)
    ]
    members.append(member("b1", "b", 0.0))
    pools = loads(a=80, b=10)
    pools["b"].waiting = Resources(60)
    assert plan_moves(pools, members).releasing == {"a0"}


def test_an_idle_machine_moves_at_once_to_a_pool_below_its_share():
    members = [member(f"a{n}", "a", 0.0) for n in range(7)]
    members += [member("a7", "a", 0.01), member("b1", "b", 0.0)]
    pools = loads(a=80, b=10)
    pools["a"].recently_needed = 9
    pools["b"].waiting = Resources(60)
    assert moves_of(pools, members) == [Move("a7", "b")]


def test_late_work_gets_only_what_is_left_over():
    """Load: all of a queue's backlog is late when another queue's turn begins.

    A late job is worth a small part of one in time.
    """
    members = [member(f"a{n}", "a", 0.01) for n in range(6)]
    members.append(member("b1", "b", 0.0))
    pools = loads(a=0, b=10)
    pools["a"].late = Resources(60)
    pools["b"].waiting = Resources(40)
    assert len(moves_of(pools, members)) == 5
    pools["b"].waiting, pools["b"].running = Resources(), Resources(5)
    members.append(member("s1", "spare"))
    assert moves_of(pools, members)[:1] == [Move("s1", "a")]


def test_machines_come_for_the_arrivals_before_a_backlog_has_built_up():
    members = [member("a1", "a", 0.0)]
    members += [member(f"s{n}", "spare") for n in range(9)]
    pools = loads(a=5)
    pools["a"].arriving = Resources(60)
    assert len(moves_of(pools, members)) == 6


def test_shares_are_max_min_fair():
    assert divide_machines({"a": 80, "b": 91, "c": 4, "d": 4}, 55) == {
        "a": 23,
        "b": 24,
        "c": 4,
        "d": 4,
    }
    assert divide_machines({"a": 9}, 0) == {"a": 0}


def test_lasting_tasks_that_fit_nowhere_get_all_their_machines_at_once():
    """Load: 5 lasting tasks wait that need most of a machine's memory each.

    Seen on the large site: one machine came each 2.4 s.
    """
    members = [member(f"a{n}", "a", 0.0) for n in range(3)]
    members += [member(f"s{n}", "spare") for n in range(9)]
    pools = loads(a=3)
    pools["a"].waiting_lasting = pools["a"].waiting = Resources(5, 450)
    assert len(moves_of(pools, members)) == 5


def test_machines_of_an_evacuated_zone_are_not_moved_to_a_pool_in_need():
    members = [member("a1", "a", 0.0), member("a2", "a", is_evacuated=True)]
    members += [
        member("s1", "spare", is_evacuated=True),
        member("b1", "b", 0.0, is_evacuated=True),
        member("s2", "spare"),
    ]
    plan = plan_moves(loads(a=15, b=0), members)
    assert plan.moves == [Move("s2", "a"), Move("a2", "spare")]
    assert not plan.releasing


def test_idle_machines_of_an_evacuated_zone_are_switched_off():
    """Also while their pool needs machines, unless a run or order is left."""
    members = [
        member("a1", "a", is_evacuated=True),
        member("a2", "a", 0.0, is_evacuated=True),
        member("a3", "a", 0.3, is_evacuated=True),
        member("a4", "a", is_up=False, is_evacuated=True),
    ]
    assert moves_of(loads(a=35), members) == [Move("a1", "spare")]


def test_remaining_machines_are_divided_as_under_overload():
    """Guards against shares that count machines of the evacuated zone."""
    members = [member(f"a{n}", "a", 0.0) for n in range(3)]
    members += [member("b0", "b", 0.0)]
    members += [member(f"e{n}", "b", 0.0, is_evacuated=True) for n in range(4)]
    plan = plan_moves(loads(a=40, b=40), members)
    assert plan.releasing == {"a0"}
    for machine in members:
        machine.is_evacuated = False
    assert not plan_moves(loads(a=25, b=40), members).releasing
