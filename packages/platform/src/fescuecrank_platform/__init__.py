"""Adapter to the users' platform: translates its names, formats and calls; makes no decisions.

The platform's own terms are used only here. It says machine for instance, zone for data centre,
tenant for customer, and back end for the pool of workers that serve a queue.
"""
