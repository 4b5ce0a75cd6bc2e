"""Odd values in what workers, machines, advice and configurations say."""

import asyncio
import json

import msgspec
import pytest

from galenarill.coordinator.tests.simulation import Simulation
from galenarill.errors import ProtocolError
from galenarill.jobs import decode_commands, encode_commands
from galenarill.jobs.commands import Configure
from galenarill.links import decode_batch, encode_batch
from galenarill.platform import machine_client
from galenarill.platform.advice_client import decode_advice
from galenarill.platform.machine_client import HttpMachineClient
from galenarill.platform.wire import (
    decode_clock_and_reason,
    decode_configuration,
    decode_job,
    decode_lists,
    decode_report,
    decode_wave,
)
from galenarill.platform.worker_client import HttpWorkerClient
from galenarill.pools import MachineListError
from galenarill.routing import Configuration
from galenarill.workers import OrderAnswer, Verdict, WorkerLists

DEEP = "[" * 100_000 + "]" * 100_000
TOO_LARGE = ["1e400", "-1e400", str(2**70), "9" * 400, "9" * 5000, "-1"]

REPORT = {
    "service": "pool",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "state": "ready",
    "seq": 4,
    "born": 1000,
    "machine": "m-1",
    "labels": ["a", "r1"],
    "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
    "remaining_ms": 0,
}
LISTS = {
    "clock_ms": 5,
    "born": 1000,
    "running": [["j.0.0.0", 1, "", 40, 1.5]],
    "ended": [[1, "j.0.0.1", 1, "done", ""]],
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "q",
            "host": "a.example",
            "path_prefix": "/q/",
            "service": "pool",
            "timeout_ms": 3000,
            "slo_ms": 600,
            "priority": 1,
            "max_attempts": 2,
            "stretch": 1.6,
            "advice": {"decide_ms": 1, "each_ms": 1, "valid_ms": 1},
        }
    ],
    "services": [{"name": "pool"}],
    "limits": {"max_header_bytes": 1, "max_body_bytes": 1},
    "tenants": [
        {
            "name": "t",
            "weight": 1,
            "upper_limit": {"cpu": 1, "mem_mb": 1, "gpu": 1},
        }
    ],
}
WAVE = {"wave": 1, "machines": ["m-1"], "duration_s": 20, "upper_limit": 1}
JOB = {
    "spec": "x",
    "steps": [{"count": 1, "cpu": 1, "estimate_ms": 1, "anti_affinity": 1}],
    "repeat_count": 1,
    "initial_delay_ms": 1,
    "interval_ms": 1,
}
MACHINE = {
    "machine": "m-1",
    "pool": "pool",
    "state": "up",
    "labels": ["a", "r1"],
    "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
    "id": "i-1",
}
DECODERS = {
    "report": (REPORT, lambda data: decode_report("i-1", data)),
    "lists": (LISTS, decode_lists),
    "configuration": (CONFIGURATION, decode_configuration),
    "wave": (WAVE, decode_wave),
    "job": (JOB, decode_job),
    "machine": (
        MACHINE,
        lambda data: machine_client._decode_machine(msgspec.Raw(data)),
    ),
    "advice": ({"good": [["i-1", "t"]], "valid_ms": 5}, decode_advice),
    "order": ({"clock_ms": 5, "reason": ""}, decode_clock_and_reason),
}


def number_paths(value, path=()):
    """Return the path of each number in a message."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        is_number = type(value) in (int, float)
        return [path] if is_number else []
    return [p for key, item in items for p in number_paths(item, (*path, key))]


def replace_number(value, path, text):
    """Return the JSON of a message with another number at a path."""
    copy = json.loads(json.dumps(value))
    inner = copy
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = "@"
    return json.dumps(copy).replace('"@"', text).encode()


@pytest.mark.parametrize(
    ("name", "path"),
    [
        (name, path)
        for name, (message, _) in DECODERS.items()
        for path in number_paths(message)
    ],
)
def test_numbers_out_of_range_go_no_further(name, path):
    """What is decoded passes links, journal and arithmetic."""
    message, decode = DECODERS[name]
    for text in TOO_LARGE:
        try:
            decoded = decode(replace_number(message, path, text))
        except ProtocolError:
            continue
        for number in numbers_of(decoded):
            assert abs(number) <= 1e15 + 1 or abs(number) < 2**53, (text, path)
            assert round(number * 1000) is not None


def numbers_of(value):
    """Return all numbers in a decoded message."""
    if isinstance(value, (int, float)):
        return [] if isinstance(value, bool) else [value]
    if isinstance(value, msgspec.Struct):
        value = [getattr(value, f) for f in value.__struct_fields__]
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, (list, tuple)):
        return [number for item in value for number in numbers_of(item)]
    return []


@pytest.mark.parametrize("name", [n for n in DECODERS if n != "order"])
def test_deep_nesting_is_a_protocol_error(name):
    message, decode = DECODERS[name]
    whole = json.dumps(message)[:-1]
    for data in (DEEP, whole + ',"odd":' + DEEP + "}"):
        if name == "configuration":
            assert not isinstance(decode(data.encode()), Configuration)
        else:
            with pytest.raises(ProtocolError):
                decode(data.encode())


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:99999",
        "10.0.0.1:0",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:-1",
        "10.0.0.1",
        ":80",
        "10.0.0.1\n:80",
        "a b:80",
        "a/b?c:80",
        "user@a:80",
        "٣:٨٠",
    ],
)
def test_addresses_that_no_server_has_are_refused(address):
    with pytest.raises(ProtocolError):
        decode_report("i-1", json.dumps(REPORT | {"address": address}).encode())


@pytest.mark.parametrize("worker", ["", "a\nb", "a b", "ä", "x" * 300])
def test_ids_that_no_worker_has_are_refused(worker):
    with pytest.raises(ProtocolError):
        decode_report(worker, json.dumps(REPORT).encode())


@pytest.mark.parametrize("address", ["[::1]:80", "host-1.example:8080"])
def test_addresses_of_servers_are_accepted(address):
    report = json.dumps(REPORT | {"address": address}).encode()
    assert decode_report("i-1", report).address == address


def test_the_largest_values_pass_links_and_journal():
    configuration = decode_configuration(
        replace_number(CONFIGURATION, ("version",), str(2**53 - 1))
    )
    commands = [Configure(configuration)]
    assert decode_commands(encode_commands(commands)) == commands
    with pytest.raises(ProtocolError):
        decode_commands(b"\x81" * 100_000)
    with pytest.raises(ProtocolError):
        decode_batch(b"\x81" * 100_000)
    assert decode_batch(encode_batch([])) == []


def list_machines(monkeypatch, *pages):
    remaining = list(pages)

    async def call(self, method, name, **options):
        return 200, remaining.pop(0)

    async def read():
        client = HttpMachineClient("127.0.0.1:1")
        try:
            return await client.list()
        finally:
            await client.aclose()

    monkeypatch.setattr(HttpMachineClient, "_call", call)
    return asyncio.run(read())


@pytest.mark.parametrize(
    ("odd", "unreadable"),
    [
        ('{"machine":"m-2","capacity":{"cpu":1e400}}', {"m-2"}),
        (json.dumps(MACHINE | {"machine": "m-2", "state": "odd"}), {"m-2"}),
        (json.dumps(MACHINE | {"machine": "m-2", "id": "i 2"}), {"m-2"}),
        (json.dumps(MACHINE | {"machine": "m\n2"}), set()),
        (json.dumps(MACHINE | {"machine": ""}), set()),
        ('{"machine":7}', set()),
        ("[]", set()),
        ('"\xff"', set()),
    ],
)
def test_an_odd_entry_hides_no_other_machine(monkeypatch, odd, unreadable):
    page = f'{{"machines":[{odd},{json.dumps(MACHINE)}]}}'.encode("latin-1")
    listed = list_machines(monkeypatch, page)
    assert [machine.id for machine in listed.machines] == ["m-1"]
    assert listed.unreadable == unreadable
    assert listed.is_complete == bool(unreadable)


def test_zones_and_cold_workers_are_read_and_may_be_missing(monkeypatch):
    machines = [MACHINE, MACHINE | {"machine": "m-2", "zone": "b"}]
    page = json.dumps({"machines": machines}).encode()
    listed = list_machines(monkeypatch, page).machines
    assert [machine.zone for machine in listed] == [
        MACHINE.get("zone", ""),
        "b",
    ]
    for fields, cold_left_ms in (({}, 0.0), ({"cold_left_ms": 1500}, 1500.0)):
        report = decode_report("i-1", json.dumps(REPORT | fields).encode())
        assert report.cold_left_ms == cold_left_ms


def test_a_page_that_follows_itself_ends_the_list(monkeypatch):
    page = json.dumps({"machines": [MACHINE], "next_token": "p"}).encode()
    with pytest.raises(MachineListError):
        list_machines(monkeypatch, *[page] * 100)


def test_odd_rows_of_advice_hide_no_other():
    advice = decode_advice(b'{"good":[7,["i-1"],["i-2",3],["i-3","t"]]}')
    assert advice.tickets == {"i-3": "t"}


def test_an_address_that_the_http_client_refuses_is_no_answer():
    report = decode_report("i-1", json.dumps(REPORT).encode())
    odd = msgspec.structs.replace(report, address="a\nb:80", worker="a\nb")

    async def stop():
        client = HttpWorkerClient()
        try:
            return await client.stop(odd, "t", 1, 1)
        finally:
            await client.aclose()

    assert asyncio.run(stop()).verdict is Verdict.NO_ANSWER


def test_a_clock_out_of_range_does_not_end_renewals():
    """Renewals of the worker go on once its answers are good again."""
    simulation = Simulation(workers=1)
    renew = simulation.network.renew
    odd = [True]

    async def renew_oddly(worker, *arguments):
        if not odd[0]:
            return await renew(worker, *arguments)
        await asyncio.sleep(0.1)
        lists = WorkerLists(float("inf"), worker.born, (), ())
        return OrderAnswer(Verdict.DONE, float("inf"), lists)

    simulation.network.renew = renew_oddly
    simulation.advance(1)
    odd[0] = False
    simulation.submit("j", 2)
    simulation.advance(20)
    assert simulation.all_completed()
    simulation.close()
