"""Backend servers of a test, which says what those do that it uses."""

from oleander_direct import servers


class UnusedCaller(servers.ServerCaller):
    """Reaches no server: a call that a test does not expect fails it."""

    def call(self, server, request, deadline, is_cancelled):
        raise AssertionError

    def generate(self, server, request, deadline, is_cancelled):
        raise AssertionError

    def read_state(self, server, deadline):
        raise AssertionError

    def order(self, server, order, deadline):
        raise AssertionError

    def forget(self, address):
        """Keep nothing that could be forgotten."""
