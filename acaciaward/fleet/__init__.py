"""Plans and orders which instances to rent, load and release, by demand and price."""
