"""Tests of TLS on listeners and links, and of certificate replacement."""

import asyncio
import ssl

import aiohttp
import trustme

from tests.fleets import eventually, run_with_fleet


def test_tls(tmp_path):
    ca = trustme.CA()
    ca.cert_pem.write_to_path(tmp_path / "ca.pem")
    context = ssl.create_default_context()
    ca.configure_trust(context)

    def write_certificate(vm):
        certificate = ca.issue_cert("127.0.0.1")
        chain = certificate.cert_chain_pems[0]
        chain.write_to_path(tmp_path / f"{vm}.pem")
        certificate.private_key_pem.write_to_path(tmp_path / f"{vm}.key")

    def extra_settings(vm):
        write_certificate(vm)
        return [
            f'tls_certificate_file = "{tmp_path / vm}.pem"',
            f'tls_key_file = "{tmp_path / vm}.key"',
            f'tls_ca_file = "{tmp_path / "ca.pem"}"',
        ]

    async def scenario(fleet):
        vm = next(iter(fleet.entry_vms))
        status, _, _ = await fleet.submit(vm, "render", "municipal")
        assert status == 200
        await _plaintext_is_rejected(fleet, vm)
        before = await _certificate_serial(fleet, vm, context)
        write_certificate(vm)

        async def has_changed():
            return await _certificate_serial(fleet, vm, context) != before

        await eventually(has_changed, 10, "the new certificate is shown")
        status, _, _ = await fleet.submit(vm, "render", "municipal")
        assert status == 200
        statuses = await fleet.statuses()
        assert len(statuses[vm]["links"]) == 2

    run_with_fleet(scenario, tls_ca=context, extra_settings=extra_settings)


async def _certificate_serial(fleet, vm, context):
    host, _, port = fleet.entry_vms[vm].callers.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port), ssl=context)
    serial = writer.get_extra_info("peercert")["serialNumber"]
    writer.transport.abort()
    return serial


async def _plaintext_is_rejected(fleet, vm):
    """Plain HTTP and links without a client certificate are rejected."""
    address = fleet.entry_vms[vm].callers
    try:
        async with fleet.session.get(f"http://{address}/livez"):
            raise AssertionError("plain HTTP was answered")
    except aiohttp.ClientError:
        pass
    host, _, port = fleet.entry_vms[vm].links.rpartition(":")
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    try:
        reader, writer = await asyncio.open_connection(
            host, int(port), ssl=context
        )
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        assert await reader.read(100) == b""
    except (ssl.SSLError, ConnectionError):
        pass
