"""Machines move to pools with work, and idle ones are switched off."""

from galenarill.pools import Move, PoolLoad, PoolMachine, plan_moves
from galenarill.routing import Resources

CAPACITY = Resources(10, 100)


def member(name, pool, idle=9.0, **options):
    return PoolMachine(
        name, pool, "a", CAPACITY, options.pop("is_up", True), idle, **options
    )


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
    moves = plan_moves(loads(a=15, b=0), members)
    assert moves[0] == Move("s1", "a")


def test_a_pool_in_need_then_takes_idle_machines_of_others():
    members = [member("a1", "a", 0.0), member("b1", "b"), member("b2", "b")]
    assert Move("b1", "a") in plan_moves(loads(a=15, b=0), members)


def test_a_pool_in_need_borrows_standby_machines_of_others():
    """A pool borrows for its need, not its `soft_minimum`.

    Others keep `hard_minimum`.
    """
    members = [member("a1", "a", 0.0)]
    members += [member(f"b{n}", "b") for n in range(3)]
    pools = loads(a=35, b=0)
    pools["b"].soft_minimum, pools["b"].hard_minimum = 3, 1
    moves = plan_moves(pools, members)
    assert moves == [Move("b0", "a"), Move("b1", "a")]
    pools = loads(a=5, b=0)
    pools["a"].soft_minimum = pools["b"].soft_minimum = 3
    assert not plan_moves(pools, members)


def test_no_pool_gives_machines_it_needs_or_needed_recently():
    members = [member("a1", "a", 0.0), member("b1", "b")]
    assert not plan_moves(loads(a=15, b=0), members)
    pools = loads(a=15, b=0)
    pools["b"].recently_needed = 2
    members.append(member("b2", "b"))
    assert not plan_moves(pools, members)


def test_busy_or_unmovable_machines_stay():
    members = [
        member("a1", "a", 0.0),
        member("b1", "b", 0.0),
        member("b2", "b", 0.0),
        member("s1", "spare", is_up=False),
    ]
    assert not plan_moves(loads(a=15, b=0), members)


def test_a_surge_adds_machines_for_a_load_peak():
    members = [member("a1", "a", 0.0)]
    members += [member(f"s{n}", "spare") for n in range(9)]
    pools = loads(a=5)
    pools["a"].surge = 4
    assert len(plan_moves(pools, members)) == 3


def test_idle_machines_are_switched_off_down_to_the_soft_minimum():
    members = [member(f"a{n}", "a") for n in range(4)]
    moves = plan_moves(loads(a=0), members)
    assert len(moves) == 3
    assert {move.pool for move in moves} == {"spare"}


def test_a_kind_that_a_pool_refuses_is_not_sent_there():
    members = [member("a1", "a", 0.0), member("s1", "spare")]
    assert not plan_moves(loads(a=15), members, {("a", "a")})
