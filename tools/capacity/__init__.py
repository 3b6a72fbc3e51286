"""Measures what the roles cost as the fleet grows, one slope per quantity."""
