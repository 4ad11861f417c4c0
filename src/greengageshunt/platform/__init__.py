"""Adapter for the users' platform: settings, store, duties, and the line protocol.

It translates the platform's names and messages into types of the product, and decides nothing.
"""
