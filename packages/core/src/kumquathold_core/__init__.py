"""Decisions and messages of kumquathold, without sockets or clocks."""
