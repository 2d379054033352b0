"""Deployment adapter: the modules that connect a node to its environment.

A deployment on another platform passes an adapter of its own to the node's
entry point, for its key-value store, configuration format, upstream
announcements and HTTP headers.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kumquathold_core import rules_file
from kumquathold_core.rules import Rules
from kumquathold_node.announcements import make_announcement_app
from kumquathold_node.configuration_reader import ConfigurationReader
from kumquathold_node.dialect import CallerDialect, UpstreamDialect
from kumquathold_node.etcd_store import EtcdStore
from kumquathold_node.http_server import WsgiApp
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.store import KeyValueStore


class Adapter(msgspec.Struct, frozen=True):
    """The replaceable modules of one deployment."""

    open_store: Callable[[Settings, Metrics], KeyValueStore]
    """Creates the client of the platform's key-value store."""

    add_configuration_source: Callable[[Kernel, Settings], None]
    """Registers the service that polls or watches for new configurations."""

    read_rules: Callable[[str], Rules]
    """Parses the text of a configuration."""

    make_announcement_app: Callable[[Kernel], WsgiApp]
    """Creates the WSGI application that takes upstream announcements."""

    caller_dialect: CallerDialect
    """Header names and statuses in HTTP with callers."""

    upstream_dialect: UpstreamDialect
    """Header names in HTTP with upstreams."""


def default_adapter() -> Adapter:
    """Return the adapter for etcd, the rules file and the default headers."""
    return Adapter(
        open_store=_open_etcd_store,
        add_configuration_source=_poll_configuration,
        read_rules=rules_file.parse_rules,
        make_announcement_app=make_announcement_app,
        caller_dialect=CallerDialect(),
        upstream_dialect=UpstreamDialect(),
    )


def _open_etcd_store(settings: Settings, metrics: Metrics) -> KeyValueStore:
    return EtcdStore(settings.platform, metrics)


def _poll_configuration(kernel: Kernel, settings: Settings) -> None:
    ConfigurationReader(kernel, settings)
