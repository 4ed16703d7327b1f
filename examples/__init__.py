"""Example deployments: settings of their entries and a first configuration patch."""
