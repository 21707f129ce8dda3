"""Tests of chervilrock."""
