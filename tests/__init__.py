"""Tests of yuccarelay."""
