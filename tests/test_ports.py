"""Test of the ports that stand-ins listen on."""

from standins.fleet import free_port


def test_no_port_is_handed_out_twice():
    """A link answered on the port of another process of its fleet."""
    ports = [free_port() for _ in range(1000)]
    assert len(set(ports)) == len(ports)
