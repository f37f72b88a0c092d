"""Adapter to the users' platform: names, formats and calls; it decides nothing.

The platform's words stop here. It says machine for instance, zone for data centre, tenant for
customer, and back end for the pool of workers that serve a queue.
"""
