"""Tests of a coordinator node without its interfaces."""

import asyncio
import types

import pytest

from galenarill.cluster import ChangeEvacuation, Code, NoAnswerError, Reply
from galenarill.common import monotonic_now
from galenarill.coordinator.node import Coordinator
from standins.virtual_time import run_in_virtual_time

REQUEST = ChangeEvacuation("a", True)


@pytest.fixture
def node():
    """A node without a log, links or a term of its own."""
    node = Coordinator.__new__(Coordinator)
    node._tasks = set()
    node._can_serve_reads = lambda: True
    node._settings = types.SimpleNamespace(zones=[], availability_zone="a")
    node._registry = types.SimpleNamespace(workers={})
    node._leader = node._fleet = None
    return node


def test_a_leader_that_cannot_commit_answers_before_the_deadline(node):
    """Guards against a caller that waits for the next leader election.

    The order goes on, as its entry may be committed later.
    """
    ended = []

    async def answer(call, request):
        await asyncio.sleep(1.2)
        ended.append(request)
        return Reply(call, Code.UNSETTLED)

    async def scenario():
        node._request_handler = types.SimpleNamespace(answer=answer)
        begin = monotonic_now()
        with pytest.raises(NoAnswerError):
            await node.call_leader(REQUEST, begin + 0.9)
        assert monotonic_now() == pytest.approx(begin + 0.9)
        await asyncio.sleep(1)
        assert ended == [REQUEST]

    run_in_virtual_time(scenario)


def test_a_leader_that_has_just_been_elected_again_knows_no_zone_yet(node):
    """Guards against a 404 for a real zone, by the age of an earlier term."""
    node._led_since = float("-inf")
    assert node._knows_zone("z") is None
    assert node._knows_zone("a")
    node._leader = types.SimpleNamespace(sessions={})
    assert node._knows_zone("z") is False
