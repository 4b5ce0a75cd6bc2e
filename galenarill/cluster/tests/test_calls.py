"""Whom a call asks, and what is known when it has no answer."""

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
from galenarill.world import steady_now
from standins.virtual_time import run_virtually

REQUEST = AskWave(1)


class Peers:
    """Coordinators that answer, stay silent or do not lead."""

    def __init__(self, **answers):
        self.answers = answers
        self.asked = []
        self.client = LeaderClient(self.send)

    def send(self, peer, message):
        assert isinstance(message, Call)
        answer = self.answers.get(peer)
        if answer == "down":
            return False
        self.asked.append(peer)
        if isinstance(answer, Code):
            asyncio.get_running_loop().call_later(
                0.01, self.client.note_reply, Reply(message.call, answer)
            )
        return True

    def lead(self, peer, term, leads=True):
        self.client.note_presence(peer, Presence(term, leads, (peer,)))


def ask(scenario):
    return run_virtually(scenario)


def test_the_leader_of_the_latest_term_is_asked():
    async def scenario():
        peers = Peers(a=Code.DONE, b=Code.DONE)
        peers.lead("a", 1)
        peers.lead("b", 2)
        reply = await peers.client.ask(REQUEST, steady_now() + 3)
        assert (reply.code, peers.asked) == (Code.DONE, ["b"])

    ask(scenario)


def test_without_a_leader_nothing_is_sent_and_that_is_said_at_once():
    async def scenario():
        peers = Peers()
        begin = steady_now()
        with pytest.raises(NoLeaderError):
            await peers.client.ask(REQUEST, begin + 3)
        assert steady_now() - begin < 0.2

    ask(scenario)


def test_a_leader_that_has_gone_quiet_is_not_asked():
    async def scenario():
        peers = Peers(a=Code.DONE)
        peers.lead("a", 1)
        await asyncio.sleep(1.5)
        assert peers.client.leader is None
        with pytest.raises(NoLeaderError):
            await peers.client.ask(REQUEST, steady_now() + 3)

    ask(scenario)


def test_a_request_goes_to_the_next_leader():
    async def scenario():
        peers = Peers(a="silent", b=Code.DONE)
        peers.lead("a", 1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, peers.lead, "b", 2)
        reply = await peers.client.ask(REQUEST, steady_now() + 3)
        assert reply.code is Code.DONE
        assert peers.asked == ["a", "b"]

    ask(scenario)


def test_a_request_that_was_sent_is_never_called_unsent():
    async def scenario():
        peers = Peers(a="silent")
        peers.lead("a", 1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, peers.client.note_link, "a", False)
        with pytest.raises(NoAnswerError):
            await peers.client.ask(REQUEST, steady_now() + 2)

    ask(scenario)


def test_a_request_whose_leader_is_lost_is_given_up_before_its_deadline():
    """The caller has time to ask again."""

    async def scenario():
        peers = Peers(a="silent")
        peers.lead("a", 1)
        begin = steady_now()
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, peers.client.note_link, "a", False)
        with pytest.raises(NoAnswerError):
            await peers.client.ask(REQUEST, begin + 3)
        assert steady_now() - begin < 1.5

    ask(scenario)


def test_a_leader_that_is_slow_has_until_the_deadline():
    async def scenario():
        peers = Peers(a="silent")
        loop = asyncio.get_running_loop()
        for tick in range(10):
            loop.call_later(0.3 * tick, peers.lead, "a", 1)
        begin = steady_now()
        loop.call_later(
            2.0, lambda: setattr(peers, "answers", {"a": Code.DONE})
        )
        await asyncio.sleep(0)
        reply = await peers.client.ask(REQUEST, begin + 3)
        assert reply.code is Code.DONE

    ask(scenario)


def test_one_that_no_longer_leads_is_passed_over():
    async def scenario():
        peers = Peers(a=Code.NOT_LEADING, b=Code.DONE)
        peers.lead("a", 1)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, peers.lead, "b", 2)
        reply = await peers.client.ask(REQUEST, steady_now() + 3)
        assert reply.code is Code.DONE

    ask(scenario)
