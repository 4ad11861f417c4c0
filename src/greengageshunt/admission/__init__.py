"""Admission policies, which limit the rate and burst of each client account."""
