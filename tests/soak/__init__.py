"""A randomised soak test of the platform roles as processes, see `__main__`."""
