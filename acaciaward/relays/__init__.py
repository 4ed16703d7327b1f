"""What entries tell each other all the time, over one reader in each data centre."""
