"""The operators' command line: parsing and printing only."""
