"""Commands of the client and the daemons, one module each."""
