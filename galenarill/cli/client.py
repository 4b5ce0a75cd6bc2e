"""HTTP client of the administration API."""

import asyncio
import dataclasses
import json
import os
import pathlib
import secrets
import ssl
from decimal import Decimal

import aiohttp
import msgspec

from galenarill.errors import (
    AuthenticationError,
    CommandRefusedError,
    ConflictError,
    GalenarillError,
    NotLeaderError,
)

__all__ = ["AdminClient", "EntryVmAddress", "open_client"]

CALL_TIMEOUT_SECONDS = 8.0
ATTEMPTS_PER_ENDPOINT = 4
ENDPOINTS_VARIABLE = "GALENARILL_ENDPOINTS"
CA_FILE_VARIABLE = "GALENARILL_CA_FILE"
KEY_FILE_VARIABLE = "GALENARILL_OPERATOR_KEY_FILE"
_encode = msgspec.json.Encoder(decimal_format="number").encode


@dataclasses.dataclass(frozen=True, slots=True)
class EntryVmAddress:
    """Address of the administration API of an entry VM.

    Attributes:
        vm: VM id.
        availability_zone: Availability zone of the VM.
        endpoint: `host:port`.
    """

    vm: str
    availability_zone: str
    endpoint: str


class AdminClient:
    """Asynchronous context manager that calls any reachable entry VM."""

    def __init__(
        self,
        endpoints: list[str],
        key: str,
        tls: ssl.SSLContext | None = None,
    ):
        """Create a client.

        Args:
            endpoints: `host:port` of entry VMs, tried in order.
            key: Operator's credential.
            tls: TLS context of the connections, or None for plain HTTP.
        """
        self._tls = tls
        self._endpoints = endpoints
        self._headers = {"Authorization": f"Bearer {key}"}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "AdminClient":
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *_) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def get(self, path: str, endpoint: str = "") -> dict:
        """Read `path` from `endpoint`, or from the first VM that answers."""
        return await self._call_with_retries("GET", path, endpoint=endpoint)

    async def change(
        self, path: str, body: dict, based_on: int | None = None
    ) -> dict:
        """Send a change, with retries under the same change id.

        The id makes the change idempotent if an answer is lost.

        Args:
            path: Path below `/v1/admin/`.
            body: Content of the change.
            based_on: Version that the change is based on, or None for no check
                of concurrent changes.

        Returns:
            The decoded answer.

        Raises:
            ConflictError: If a concurrent change touched the same settings.
            CommandRefusedError: If the change was refused for another reason.
        """
        headers = {"Galenarill-Change-Id": secrets.token_hex(12)}
        if based_on is not None:
            headers["If-Match"] = str(based_on)
        return await self._call_with_retries("POST", path, body, headers)

    async def entry_vms(self) -> list[EntryVmAddress]:
        """Return the addresses of all entry VMs of the fleet."""
        status = await self.get("status")
        return [
            EntryVmAddress(vm["id"], vm["availability_zone"], vm["callers"])
            for vm in status["entry_vms"]
        ]

    async def get_from_all(
        self, path: str
    ) -> dict[EntryVmAddress, dict | None]:
        """Read `path` from every entry VM; None for those without an answer."""
        vms = await self.entry_vms()
        answers = await asyncio.gather(
            *(self.get(path, vm.endpoint) for vm in vms),
            return_exceptions=True,
        )
        return {
            vm: None if isinstance(answer, Exception) else answer
            for vm, answer in zip(vms, answers, strict=True)
        }

    async def post_ignoring_errors(self, vm: EntryVmAddress, path: str) -> None:
        """Post to one entry VM and ignore errors of the call."""
        try:
            await self._call_with_retries(
                "POST", path, {}, endpoint=vm.endpoint
            )
        except GalenarillError:
            return

    async def _call_with_retries(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        headers: dict | None = None,
        endpoint: str = "",
    ) -> dict:
        last_error: Exception = GalenarillError("no entry VM is configured")
        targets = (
            [endpoint] if endpoint else self._endpoints * ATTEMPTS_PER_ENDPOINT
        )
        for target in targets:
            try:
                return await self._call_endpoint(
                    method, target, path, body, headers or {}
                )
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                last_error = GalenarillError(
                    f"{target} does not answer: {error}"
                )
            except NotLeaderError as error:
                last_error = error
        raise last_error

    async def _call_endpoint(
        self, method: str, target: str, path: str, body, headers: dict
    ) -> dict:
        async with self._session.request(
            method,
            f"{'https' if self._tls else 'http'}://{target}/v1/admin/{path}",
            ssl=self._tls or True,
            data=None if body is None else _encode(body),
            headers={**self._headers, **headers},
        ) as response:
            text = await response.text()
        try:
            answer = json.loads(text, parse_float=Decimal)
        except ValueError as error:
            # An entry VM of an earlier release doesn't know the path.
            raise CommandRefusedError(
                f"{target} answers {response.status}: {text[:200]}"
            ) from error
        if response.status == 200:
            return answer
        detail = answer.get("detail", text)
        for fault in answer.get("faults", []):
            detail += f"\n{fault['path']}: {fault['text']}"
        if response.status in (401, 403):
            raise AuthenticationError(detail)
        if response.status == 503:
            raise NotLeaderError(detail)
        if answer.get("outcome") == "conflict":
            raise ConflictError(detail)
        raise CommandRefusedError(detail)


def open_client() -> AdminClient:
    """Create a client from the environment variables.

    Raises:
        GalenarillError: If no entry VM is named, or the file of the credential
            or of the CA certificates cannot be read.
    """
    endpoints = os.environ.get(ENDPOINTS_VARIABLE, "").split()
    if not endpoints:
        raise GalenarillError(
            f"{ENDPOINTS_VARIABLE} must name entry VMs as host:port"
        )
    file = os.environ.get(KEY_FILE_VARIABLE, "")
    try:
        key = pathlib.Path(file).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise GalenarillError(
            f"{KEY_FILE_VARIABLE} must name a file with the operator's "
            f"credential: {error}"
        ) from error
    tls = None
    if ca := os.environ.get(CA_FILE_VARIABLE):
        try:
            tls = ssl.create_default_context(cafile=ca)
        except OSError as error:
            text = f"{CA_FILE_VARIABLE}: {ca} cannot be used: {error}"
            raise GalenarillError(text) from error
        # Entry VMs are addressed by IP address, without a host name to check.
        tls.check_hostname = False
    return AdminClient(endpoints, key, tls)
