"""The byte-exact HTTP side: opaque requests in, one endpoint's answer out."""
