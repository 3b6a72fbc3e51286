"""Scheduling decisions for jobs of several steps."""
