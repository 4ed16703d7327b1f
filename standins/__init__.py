"""Fakes of the platform, the engines and the services, with faults to inject."""
