"""Measurement of the decision code in virtual time; see `docs/measurements.md`."""
