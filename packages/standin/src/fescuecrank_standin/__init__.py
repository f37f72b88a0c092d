"""Stand-ins for the platform services, an embedded deployment, a load generator and the demo."""
