"""HTTP connections to backend servers, one per permit."""

import asyncio

import aiohttp

from galenarill.common import PermitId

__all__ = ["PermitConnections"]

CONNECT_TIMEOUT_SECONDS = 2.0
READ_BUFFER_BYTES = 64 * 1024
# Maximum time without data while a response is read.
RESPONSE_READ_TIMEOUT_SECONDS = 60.0


class PermitConnections:
    """One HTTP connection per permit held.

    A connection is closed when its permit is returned. While it closes, the
    next holder of the slot may open another one, so a backend server has at
    most two connections per slot. The scheduler therefore grants at most half
    as many slots as a backend server accepts connections.
    """

    def __init__(self):
        """Make an empty set of connections."""
        self._sessions: dict[PermitId, aiohttp.ClientSession] = {}
        self._cookies = aiohttp.DummyCookieJar()
        self._timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=RESPONSE_READ_TIMEOUT_SECONDS,
        )
        self._closing: set[asyncio.Future] = set()

    def get(self, permit_id: PermitId) -> aiohttp.ClientSession:
        """Return the session of a permit, limited to one connection."""
        session = self._sessions.get(permit_id)
        if session is None:
            session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=1, use_dns_cache=False, keepalive_timeout=30.0
                ),
                cookie_jar=self._cookies,
                timeout=self._timeout,
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
                read_bufsize=READ_BUFFER_BYTES,
            )
            # By default aiohttp resends a GET or PUT if a keep-alive connection
            # breaks. `RequestExecutor` decides whether to send it again.
            session._retry_connection = False
            self._sessions[permit_id] = session
        return session

    def close(self, permit_id: PermitId) -> None:
        """Close the connection of a permit that is returned."""
        session = self._sessions.pop(permit_id, None)
        if session is not None:
            # `close` closes the transport before the permit is returned; the
            # task only waits until that is complete.
            closed = session.connector.close()
            session.detach()
            task = asyncio.ensure_future(closed)
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    async def close_all(self) -> None:
        """Close every connection."""
        for permit_id in list(self._sessions):
            self.close(permit_id)
        await asyncio.gather(*self._closing, return_exceptions=True)
