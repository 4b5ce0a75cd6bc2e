"""Authenticated websocket links between entry VMs, with CBOR messages."""

from galenarill.links.codec import *  # noqa: F403
from galenarill.links.mesh import *  # noqa: F403
from galenarill.links.tls import *  # noqa: F403
