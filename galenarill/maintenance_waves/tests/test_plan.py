"""Waves respect their limit and the disruption budgets of steps."""

from hypothesis import given, settings
from hypothesis import strategies as st

from galenarill.maintenance_waves import DisruptionBudget, DueMachine, plan_wave

STEP = ("j", 0, 0)


def due_machine(
    name,
    finite_runs=0,
    long_running_tasks=0,
    cordoned_since=None,
    is_pool_short=False,
):
    return DueMachine(
        name,
        not finite_runs and not long_running_tasks,
        finite_runs,
        {STEP: long_running_tasks} if long_running_tasks else {},
        cordoned_since,
        is_pool_short,
    )


def test_idle_machines_go_first():
    due_machines = [due_machine("a", finite_runs=2), due_machine("b")]
    wave_plan = plan_wave(due_machines, {}, 0, 1, 0.0, 100.0)
    assert wave_plan.to_maintain == ["b"]
    assert not wave_plan.to_cordon


def test_a_busy_machine_is_cordoned_before_maintenance():
    wave_plan = plan_wave(
        [due_machine("a", finite_runs=2)], {}, 0, 1, 0.0, 100.0
    )
    assert wave_plan.to_cordon == ["a"]
    assert not wave_plan.to_maintain
    waiting = [due_machine("a", finite_runs=1, cordoned_since=0.0)]
    assert not plan_wave(waiting, {}, 0, 1, 50.0, 100.0).to_maintain
    assert plan_wave(waiting, {}, 0, 1, 95.0, 100.0).to_maintain == ["a"]


def test_two_tasks_of_one_step_are_evicted_one_by_one():
    steps = {STEP: DisruptionBudget(1, 0)}
    wave_plan = plan_wave(
        [due_machine("a", long_running_tasks=2)], steps, 0, 1, 0.0, 100.0
    )
    assert wave_plan.evict == [("a", STEP)]
    assert not wave_plan.to_maintain


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.booleans()),
        max_size=8,
    ),
    st.integers(0, 3),
    st.integers(1, 4),
    st.integers(0, 3),
    st.integers(0, 4),
    st.sampled_from([0.0, 90.0, 200.0]),
)
def test_limits_and_budgets_hold(
    machines, down, max_machines_down, max_unavailable, unavailable, now
):
    due_machines = [
        due_machine(
            f"m{n}",
            finite_runs,
            long_running_tasks,
            0.0 if is_cordoned else None,
        )
        for n, (finite_runs, long_running_tasks, is_cordoned) in enumerate(
            machines
        )
    ]
    steps = {STEP: DisruptionBudget(max_unavailable, unavailable)}
    wave_plan = plan_wave(
        due_machines, steps, down, max_machines_down, now, 100.0
    )
    assert down + len(wave_plan.to_maintain) <= max(max_machines_down, down)
    ended = sum(
        due_machine.long_running_tasks.get(STEP, 0)
        for due_machine in due_machines
        if due_machine.machine in wave_plan.to_maintain
    ) + len(wave_plan.evict)
    if ended:
        assert unavailable + ended <= max(1, max_unavailable)
