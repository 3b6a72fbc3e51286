"""Decisions only: no clock, socket, codec, random source or log."""
