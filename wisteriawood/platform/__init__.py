"""The users' platform: only translates between its words and ours."""
