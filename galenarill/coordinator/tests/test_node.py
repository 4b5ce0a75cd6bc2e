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
