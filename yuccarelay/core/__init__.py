"""Decisions of the roles, without clocks, sockets, codecs, random sources or logs."""
