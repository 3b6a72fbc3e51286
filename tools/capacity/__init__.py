"""Measures how the resource use of each role grows with the size of the fleet."""
