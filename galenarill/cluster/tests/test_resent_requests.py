"""Tests of what the replies to several attempts say about a request."""

import asyncio
import random

import pytest

from galenarill.cluster import (
    AskJob,
    Call,
    Code,
    LeaderClient,
    NoAnswerError,
    NoLeaderError,
    Presence,
    Reply,
    SubmitJob,
    WithdrawJob,
)
from galenarill.common import monotonic_now
from galenarill.jobs import JobSpec, Step
from galenarill.routing import Resources
from standins.virtual_time import run_in_virtual_time

REFUSALS = [
    Code.UNKNOWN_KEY,
    Code.UNKNOWN_QUEUE,
    Code.NO_CONFIGURATION,
    Code.ID_IN_USE,
    Code.INVALID,
    Code.TOO_LATE,
    Code.ABOVE_LIMIT,
    Code.UNKNOWN_ZONE,
]
SUBMIT = SubmitJob(
    "h", "/a/j", "key", "j", JobSpec("x", (Step(1, Resources(1)),))
)
WITHDRAW = WithdrawJob("h", "/a/j", "key", "j")
ASK = AskJob("h", "/a/j", "key", "j")


class FakeLeader:
    """A leader whose reply to each attempt is given with its delay."""

    def __init__(self, *replies):
        self.client = LeaderClient(self._send)
        self.calls = 0
        self._replies = replies
        self.client.record_presence("a", Presence(1, True, ("a",)))

    def _send(self, peer, message):
        assert isinstance(message, Call)
        code, delay = self._replies[min(self.calls, len(self._replies) - 1)]
        self.calls += 1
        if code is not None:
            asyncio.get_running_loop().call_later(
                delay, self.client.record_reply, Reply(message.call, code)
            )
        return True

    async def keep_leading(self):
        while True:
            self.client.record_presence("a", Presence(1, True, ("a",)))
            await asyncio.sleep(0.35)


def _call(request, *replies, seconds=2.95, events=()):
    """Return the code of the reply, or the type of the error."""

    async def scenario():
        leader = FakeLeader(*replies)
        beats = asyncio.create_task(leader.keep_leading())
        for at, event in events:
            asyncio.get_running_loop().call_later(at, event, leader.client)
        try:
            deadline = monotonic_now() + seconds
            reply = await leader.client.call_leader(request, deadline)
            return reply.code
        except (NoAnswerError, NoLeaderError) as error:
            return type(error)
        finally:
            beats.cancel()

    return run_in_virtual_time(scenario)


def _lose_link(client):
    client.record_link("a", False)
    client.record_presence("a", Presence(1, True, ("a",)))


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("request_", [SUBMIT, WITHDRAW])
def test_a_refused_resend_does_not_deny_the_first_attempt(request_, refusal):
    """Guards against 401 for a job that runs (review case 5)."""
    replies = (Code.DONE, 1.2), (refusal, 0.01)
    assert _call(request_, *replies) is Code.DONE


@pytest.mark.parametrize("refusal", REFUSALS)
def test_without_a_reply_to_the_first_attempt_the_outcome_is_unknown(refusal):
    replies = (None, 0.0), (refusal, 0.01)
    assert _call(SUBMIT, *replies) is NoAnswerError


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_refusal_after_a_lost_link_leaves_the_outcome_unknown(refusal):
    replies = (None, 0.0), (refusal, 0.01)
    events = [(0.2, _lose_link)]
    assert _call(SUBMIT, *replies, events=events) is NoAnswerError


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_refusal_after_an_unsettled_attempt_leaves_it_unknown(refusal):
    """The entry of a deposed leader may still be committed."""
    replies = (Code.UNSETTLED, 0.01), (refusal, 0.01)
    assert _call(SUBMIT, *replies) is NoAnswerError


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_refusal_is_the_answer_if_no_attempt_was_carried_out(refusal):
    assert _call(SUBMIT, (refusal, 0.01)) is refusal
    assert _call(SUBMIT, (Code.NOT_LEADING, 0.01), (refusal, 0.01)) is refusal
    assert _call(SUBMIT, (refusal, 1.0), (refusal, 0.5)) is refusal


def test_after_a_lost_rejection_the_resend_is_evaluated_again():
    """Guards against 429 for a job that the resend brought in."""
    lost = None, 0.0
    assert _call(SUBMIT, lost, (Code.DONE, 0.01)) is Code.DONE
    # The first attempt may be the one that is accepted.
    assert _call(SUBMIT, lost, (Code.TOO_LATE, 0.01)) is NoAnswerError


def test_a_refused_read_is_answered_at_once():
    replies = (None, 0.0), (Code.UNKNOWN_KEY, 0.01)
    assert _call(ASK, *replies) is Code.UNKNOWN_KEY


def test_a_request_is_not_run_if_no_coordinator_led():
    assert _call(SUBMIT, (Code.NOT_LEADING, 0.01)) is NoLeaderError


def test_an_attempt_of_the_caller_that_is_unsettled_counts():
    """Guards against 503, which says that nothing was done."""

    async def scenario():
        client = LeaderClient(lambda peer, message: False)
        with pytest.raises(NoAnswerError):
            await client.call_leader(
                SUBMIT, monotonic_now() + 1, is_unsettled=True
            )

    run_in_virtual_time(scenario)


def test_a_reply_that_has_arrived_by_the_deadline_is_delivered():
    """After a freeze, the timer fires before the reply is read."""
    assert _call(SUBMIT, (Code.DONE, 0.51), seconds=0.5) is Code.DONE


class _Play:
    """Leaders that come and go while a key is taken away and given back.

    A leader carries a request out if it arrives while the key is known. The
    entry of one that is deposed meanwhile may or may not be committed. Replies
    are late or lost with their link. The client stands still at times.
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._client = LeaderClient(self._send)
        self._term = 1
        self._leader = "a"
        self._is_key_known = True
        self._committed = set()
        # Until when the client reads nothing, on the loop's clock.
        self._frozen_until = 0.0
        self._lost_links = 0

    def _at(self, delay, function, *arguments):
        """Call a function of the client, when it doesn't stand still."""
        loop = asyncio.get_running_loop()

        def deliver():
            if loop.time() < self._frozen_until:
                loop.call_at(self._frozen_until, deliver)
            else:
                function(*arguments)

        loop.call_later(delay, deliver)

    def _reply(self, link, call, code):
        if link == self._lost_links:
            self._client.record_reply(Reply(call, code))

    def _send(self, peer, message):
        rng, loop = self._rng, asyncio.get_running_loop()
        link, term = self._lost_links, self._term
        back = rng.choice((0.005, rng.uniform(0.0, 1.5)))

        def receive():
            if peer != self._leader:
                code = Code.NOT_LEADING
            elif message.request.job in self._committed:
                code = Code.DONE if self._is_key_known else Code.UNKNOWN_KEY
            elif not self._is_key_known:
                code = Code.UNKNOWN_KEY
            else:
                loop.call_later(rng.uniform(0.0, 0.4), commit)
                return
            self._at(back, self._reply, link, message.call, code)

        def commit():
            is_deposed = term != self._term
            if not is_deposed or rng.random() < 0.5:
                self._committed.add(message.request.job)
            code = Code.UNSETTLED if is_deposed else Code.DONE
            self._at(back, self._reply, link, message.call, code)

        loop.call_later(rng.uniform(0.0, 0.1), receive)
        return True

    async def _disturb(self):
        rng, loop = self._rng, asyncio.get_running_loop()
        while True:
            await asyncio.sleep(rng.uniform(0.05, 0.8))
            match rng.randrange(4):
                case 0:
                    self._is_key_known = not self._is_key_known
                case 1:
                    self._term += 1
                    self._leader = rng.choice("abc")
                case 2:
                    self._lost_links += 1
                    for peer in "abc":
                        self._client.record_link(peer, False)
                case _:
                    self._frozen_until = loop.time() + rng.uniform(0.2, 1.5)

    async def _announce(self):
        while True:
            await asyncio.sleep(0.05)
            for peer in "abc":
                presence = Presence(self._term, peer == self._leader, ("a",))
                self._at(0.0, self._client.record_presence, peer, presence)

    async def _submit(self, number, answers):
        job = f"j{number}"
        request = SubmitJob("h", f"/a/{job}", "key", job, SUBMIT.spec)
        await asyncio.sleep(self._rng.uniform(0.0, 20.0))
        try:
            deadline = monotonic_now() + 2.95
            reply = await self._client.call_leader(request, deadline)
            answers[job] = reply.code
        except (NoAnswerError, NoLeaderError) as error:
            answers[job] = type(error)

    async def play(self):
        loops = [
            asyncio.create_task(self._disturb()),
            asyncio.create_task(self._announce()),
        ]
        answers = {}
        await asyncio.gather(*(self._submit(n, answers) for n in range(60)))
        await asyncio.sleep(3.0)
        for task in loops:
            task.cancel()
        return answers, self._committed


@pytest.mark.parametrize("seed", range(20))
def test_no_job_that_was_accepted_is_called_refused(seed):
    """Guards against refusals of requests that were carried out."""

    async def scenario():
        return await _Play(seed).play()

    answers, committed = run_in_virtual_time(scenario)
    assert len(answers) == 60
    for job, answer in answers.items():
        if answer is Code.DONE:
            assert job in committed
        elif answer is not NoAnswerError:
            assert job not in committed, answer
