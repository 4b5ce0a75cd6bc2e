"""Tests of the choice of leader for a call, and of its failures."""

import asyncio

import pytest

from galenarill.cluster import (
    AskWave,
    Call,
    Code,
    LeaderClient,
    NoAnswerError,
    NoLeaderError,
    Presence,
    Reply,
)
from galenarill.common import monotonic_now
from standins.virtual_time import run_in_virtual_time

REQUEST = AskWave(1)


class FakeCluster:
    """Coordinators that reply, stay silent, are down or do not lead."""

    def __init__(self, **answers):
        self.answers = answers
        self.called_peers = []
        self.client = LeaderClient(self.send)

    def send(self, peer, message):
        assert isinstance(message, Call)
        answer = self.answers.get(peer)
        if answer == "down":
            return False
        self.called_peers.append(peer)
        if isinstance(answer, Code):
            asyncio.get_running_loop().call_later(
                0.01, self.client.record_reply, Reply(message.call, answer)
            )
        return True

    def announce_leader(self, peer, term, leads=True):
        self.client.record_presence(peer, Presence(term, leads, (peer,)))


def run_scenario(scenario):
    return run_in_virtual_time(scenario)


def test_call_goes_to_leader_of_latest_term():
    async def scenario():
        fake = FakeCluster(a=Code.DONE, b=Code.DONE)
        fake.announce_leader("a", 1)
        fake.announce_leader("b", 2)
        reply = await fake.client.call_leader(REQUEST, monotonic_now() + 3)
        assert (reply.code, fake.called_peers) == (Code.DONE, ["b"])

    run_scenario(scenario)


def test_call_without_leader_fails_fast_and_sends_nothing():
    async def scenario():
        fake = FakeCluster()
        begin = monotonic_now()
        with pytest.raises(NoLeaderError):
            await fake.client.call_leader(REQUEST, begin + 3)
        assert monotonic_now() - begin < 0.2

    run_scenario(scenario)


def test_leader_with_expired_presence_is_not_called():
    async def scenario():
        fake = FakeCluster(a=Code.DONE)
        fake.announce_leader("a", 1)
        await asyncio.sleep(1.5)
        assert fake.client.leader is None
        with pytest.raises(NoLeaderError):
            await fake.client.call_leader(REQUEST, monotonic_now() + 3)

    run_scenario(scenario)


def test_call_is_resent_to_new_leader():
    async def scenario():
        fake = FakeCluster(a="silent", b=Code.DONE)
        fake.announce_leader("a", 1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, fake.announce_leader, "b", 2)
        reply = await fake.client.call_leader(REQUEST, monotonic_now() + 3)
        assert reply.code is Code.DONE
        assert fake.called_peers == ["a", "b"]

    run_scenario(scenario)


def test_sent_call_without_reply_has_unknown_outcome():
    async def scenario():
        fake = FakeCluster(a="silent")
        fake.announce_leader("a", 1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, fake.client.record_link, "a", False)
        with pytest.raises(NoAnswerError):
            await fake.client.call_leader(REQUEST, monotonic_now() + 2)

    run_scenario(scenario)


def test_call_fails_before_deadline_if_leader_is_lost():
    """A call without a new leader fails early enough for a retry."""

    async def scenario():
        fake = FakeCluster(a="silent")
        fake.announce_leader("a", 1)
        begin = monotonic_now()
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, fake.client.record_link, "a", False)
        with pytest.raises(NoAnswerError):
            await fake.client.call_leader(REQUEST, begin + 3)
        assert monotonic_now() - begin < 1.5

    run_scenario(scenario)


def test_slow_leader_has_until_deadline():
    async def scenario():
        fake = FakeCluster(a="silent")
        loop = asyncio.get_running_loop()
        for tick in range(10):
            loop.call_later(0.3 * tick, fake.announce_leader, "a", 1)
        begin = monotonic_now()
        loop.call_later(2.0, lambda: setattr(fake, "answers", {"a": Code.DONE}))
        await asyncio.sleep(0)
        reply = await fake.client.call_leader(REQUEST, begin + 3)
        assert reply.code is Code.DONE

    run_scenario(scenario)


def test_call_is_resent_after_not_leading_reply():
    async def scenario():
        fake = FakeCluster(a=Code.NOT_LEADING, b=Code.DONE)
        fake.announce_leader("a", 1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, fake.announce_leader, "b", 2)
        reply = await fake.client.call_leader(REQUEST, monotonic_now() + 3)
        assert reply.code is Code.DONE

    run_scenario(scenario)
