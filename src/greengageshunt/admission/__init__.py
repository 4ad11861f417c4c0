"""Admission policies for rates and bursts."""
