"""Reading and checking of the JSON settings file."""
